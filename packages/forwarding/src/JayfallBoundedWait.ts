/** Waits that end with a result, a time limit or the end of the request, whichever comes first. */

export type WaitResult<Value> =
  | { readonly kind: 'value', readonly value: Value }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'stopped' }

/**
 * @param limit milliseconds; Infinity for none.
 * @param stopSignals the first one that is aborted ends the wait.
 */
export function waitFor<Value> (promise: Promise<Value>, limit: number, stopSignals: readonly AbortSignal[]): Promise<WaitResult<Value>> {
  return new Promise((resolve, reject) => {
    // After the process was paused, timers run before the data that arrived meanwhile is read.
    const timer = limit === Infinity ? undefined : setTimeout(() => setImmediate(() => finish({ kind: 'timeout' })), Math.max(0, limit))
    const onStop = (): void => finish({ kind: 'stopped' })
    const cleanUp = (): void => {
      clearTimeout(timer)
      for (const stopSignal of stopSignals) stopSignal.removeEventListener('abort', onStop)
    }
    const finish = (result: WaitResult<Value>): void => {
      cleanUp()
      resolve(result)
    }
    if (stopSignals.some(({ aborted }) => aborted)) return finish({ kind: 'stopped' })
    for (const stopSignal of stopSignals) stopSignal.addEventListener('abort', onStop)
    promise.then(value => finish({ kind: 'value', value }), error => {
      cleanUp()
      reject(error)
    })
  })
}
