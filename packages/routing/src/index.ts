export { LeastOutstandingRouter } from './JayfallLeastOutstandingRouter'
export { Router, type AttemptEvent, type AttemptFailure, type LoadReport, type RefusalCode, type RoutedRequest, type RoutedServer, type RoutingDecision, type WorkspaceShare } from './JayfallRouter'
export { TICK_INTERVAL_MILLISECONDS } from './JayfallRoutingConstants'
export { type WorkClass } from './JayfallWork'
