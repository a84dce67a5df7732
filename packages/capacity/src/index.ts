export { ColdServers, type ColdPolicy, type ColdPresumption, type ColdServersParts } from './JayfallColdServers'
export { WindowShares, type WindowSharesParts } from './JayfallWindowShares'
export { ZoneEvacuations } from './JayfallZoneEvacuations'
