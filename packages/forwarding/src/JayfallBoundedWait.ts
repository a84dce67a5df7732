/** Waits that end at the first of a result, a time limit and the end of the request. */

export type WaitEnd<Value> =
  | { readonly kind: 'value', readonly value: Value }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'stopped' }

/**
 * @param limit milliseconds; Infinity for none.
 * @param stop aborted when the waiting party is gone.
 */
export function waitFor<Value> (promise: Promise<Value>, limit: number, stop: AbortSignal): Promise<WaitEnd<Value>> {
  return new Promise((resolve, reject) => {
    const timer = limit === Infinity ? undefined : setTimeout(() => finish({ kind: 'timeout' }), Math.max(0, limit))
    const onStop = (): void => finish({ kind: 'stopped' })
    const finish = (end: WaitEnd<Value>): void => {
      clearTimeout(timer)
      stop.removeEventListener('abort', onStop)
      resolve(end)
    }
    if (stop.aborted) return finish({ kind: 'stopped' })
    stop.addEventListener('abort', onStop)
    promise.then(value => finish({ kind: 'value', value }), error => {
      clearTimeout(timer)
      stop.removeEventListener('abort', onStop)
      reject(error)
    })
  })
}
