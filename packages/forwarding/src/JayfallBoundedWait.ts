/** Waits that end at the first of a result, a time limit and the end of the request. */

export type WaitEnd<Value> =
  | { readonly kind: 'value', readonly value: Value }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'stopped' }

/**
 * @param limit milliseconds; Infinity for none.
 * @param stops the first one that is aborted ends the wait.
 */
export function waitFor<Value> (promise: Promise<Value>, limit: number, stops: readonly AbortSignal[]): Promise<WaitEnd<Value>> {
  return new Promise((resolve, reject) => {
    const timer = limit === Infinity ? undefined : setTimeout(() => finish({ kind: 'timeout' }), Math.max(0, limit))
    const onStop = (): void => finish({ kind: 'stopped' })
    const release = (): void => {
      clearTimeout(timer)
      for (const stop of stops) stop.removeEventListener('abort', onStop)
    }
    const finish = (end: WaitEnd<Value>): void => {
      release()
      resolve(end)
    }
    if (stops.some(({ aborted }) => aborted)) return finish({ kind: 'stopped' })
    for (const stop of stops) stop.addEventListener('abort', onStop)
    promise.then(value => finish({ kind: 'value', value }), error => {
      release()
      reject(error)
    })
  })
}
