/** Options that several subcommands share. */

import { userInfo } from 'node:os'

import { CatalogueStore, HttpTableStore, PlatformHttp } from '#jayfall/store'
import { flag, option, string } from 'cmd-ts'

export const jsonOption = flag({ long: 'json', description: 'print JSON' })

export const platformOption = option({
  long: 'platform',
  type: string,
  env: 'JAYFALL_PLATFORM',
  description: 'IP address and port of the platform; also from JAYFALL_PLATFORM'
})

export const writerOption = option({
  long: 'writer',
  type: string,
  defaultValue: () => userInfo().username,
  description: 'name recorded with the change; the user name by default'
})

/** Opens the catalogue in the platform's table service. @param address IP address and port of the platform. */
export function openCatalogueStore (address: string): { readonly store: CatalogueStore, readonly close: () => void } {
  const http = new PlatformHttp({ address })
  return { store: new CatalogueStore(new HttpTableStore(http)), close: () => http.close() }
}
