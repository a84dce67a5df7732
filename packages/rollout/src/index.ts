export { advanceRollout, createMonitorAfter, createRollout, stepOfShare, trafficShareOf, type RolloutRating, type RolloutState } from './JayfallRollout'
export { NEW_VERSION_RATING_PART, ROLLOUT_STEPS } from './JayfallRolloutConstants'
export { NEW_MONITOR, advanceMonitor, type MonitorState } from './JayfallServiceMonitor'
