/** Addresses of the form `IP:PORT`, as instances and servers name them to each other. */

import { isIPv4 } from 'node:net'

const HIGHEST_PORT = 65_535

/** Whether the text is an IPv4 address and a port that can be connected to. */
export function isSocketAddress (text: string): boolean {
  const [host, port, ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port ?? '') && Number(port) >= 1 && Number(port) <= HIGHEST_PORT
}
