/** Client of the platform's object store. */

import { PlatformError } from './JayfallPlatformError'
import { type PlatformHttp } from './JayfallPlatformHttp'

/** A store of named objects, each of which is written once. */
export abstract class ObjectStore {
  /**
   * Writes the object unless an object of that name exists.
   * @returns whether this call wrote the object.
   */
  abstract putIfAbsent (name: string, value: unknown): Promise<boolean>
  /** Reads an object; resolves to undefined when it is absent. */
  abstract get<Value> (name: string): Promise<Value | undefined>
  /** Lists one page of names with the prefix in order, starting after the name `after`. */
  abstract list (prefix: string, after?: string): Promise<readonly string[]>
}

/** An object store that is accessed over HTTP. */
export class HttpObjectStore extends ObjectStore {
  constructor (private readonly http: PlatformHttp) {
    super()
  }

  override async putIfAbsent (name: string, value: unknown): Promise<boolean> {
    const { status } = await this.http.call('PUT', objectPath(name), value, { 'if-none-match': '*' })
    if (status === 412) return false
    if (status !== 200) throw new PlatformError('malformed', `the object store answered a write with status ${status}`)
    return true
  }

  override async get<Value> (name: string): Promise<Value | undefined> {
    const { status, body } = await this.http.call('GET', objectPath(name))
    return status === 404 ? undefined : body as Value
  }

  override async list (prefix: string, after = ''): Promise<readonly string[]> {
    const { body } = await this.http.call('GET', `/objects?${new URLSearchParams({ prefix, after })}`)
    return (body as { names: readonly string[] }).names
  }
}

function objectPath (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}
