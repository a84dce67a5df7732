/** The handler of the route by which a caller resumes a streamed response on any instance. */

import { type Request, type ResponseToolkit } from '@hapi/hapi'
import { isVersionAllowed, type VersionEntry, type WorkspaceEntry } from '#jayfall/catalogue'

import { EventStreamResponseWriter, type ResponseWriter } from './JayfallResponseWriter'
import { ApiError } from './JayfallApiError'
import { AttemptStream, type AttemptTarget } from './JayfallAttemptStream'
import { authenticateCaller } from './JayfallAuthentication'
import { applyBackpressure } from './JayfallBackpressure'
import { type DataContext } from './JayfallDataContext'
import { billResponse } from './JayfallResponseBilling'
import { REQUEST_HEADER, STREAM_HEADER, VERSION_HEADER } from './JayfallEntryConstants'
import { headerValue, requestHop } from './JayfallRequestFields'
import { type StreamToken } from './JayfallTokenSealer'

/** Responds with the events after the one that `Last-Event-ID` names, or with all events if that header is absent. */
export async function handleStreamResumption (context: DataContext, request: Request, toolkit: ResponseToolkit): Promise<symbol> {
  const workspace = authenticateCaller(context.catalogue, headerValue(request, 'authorization'))
  const sealed = headerValue(request, STREAM_HEADER)
  if (sealed === undefined) throw new ApiError('stream_token_invalid', `send the stream token in the ${STREAM_HEADER} header`)
  const token = await context.tokenSealer.openStream(sealed, workspace.id)
  const version = findVersion(context, workspace, token)
  const nextIndex = readNextIndex(headerValue(request, 'last-event-id'), token.streamId)
  const address = context.catalogue.get('server', token.server)?.address
  if (address === undefined) throw new ApiError('stream_incomplete', 'the backend server of the stream is gone', { ran: 'yes' })
  const responseWriter = new EventStreamResponseWriter(request.raw.res, token.requestId)
  const stream = openStream(context, { ...token, address, traceparent: requestHop(request).traceparent }, version, nextIndex, responseWriter)
  request.raw.res.once('close', () => stream.stop())
  await stream.resume().catch((error: unknown) => { throw new ApiError('stream_incomplete', 'the engine no longer has the stream', { ran: 'yes' }, error) })
  return toolkit.abandon
}

/** Finds the version of the stream. A withdrawn version may finish, as resuming is not new work; a version that the workspace may no longer use may not. */
function findVersion (context: DataContext, workspace: WorkspaceEntry, token: StreamToken): VersionEntry {
  const version = context.catalogue.get('version', token.version)
  if (version !== undefined && isVersionAllowed(context.catalogue, workspace, version.id)) return version
  throw new ApiError('version_forbidden', `the workspace may no longer use ${token.version}`, { ran: 'yes' })
}

/** Creates the stream, whose events are written to `responseWriter` and whose bill is recorded before its end. */
function openStream (context: DataContext, token: StreamToken & AttemptTarget, version: VersionEntry, nextIndex: number, responseWriter: ResponseWriter): AttemptStream {
  const headers = { [REQUEST_HEADER]: token.requestId, [VERSION_HEADER]: token.version }
  const failStream = (error: unknown): void => responseWriter.fail(new ApiError('stream_incomplete', 'the answer broke off and could not be resumed', { ran: 'yes' }, error))
  const finishStream = async (raw: Buffer): Promise<void> => {
    await billResponse(context, { workspace: token.workspace, version, billKey: token.billKey }, raw)
    responseWriter.finish(raw, headers)
  }
  const stream: AttemptStream = new AttemptStream(context, token, nextIndex, {
    onEvents: raw => {
      if (!responseWriter.writeEvents(raw, headers)) applyBackpressure(context, responseWriter, stream)
    },
    onFinal: raw => { finishStream(raw).catch(failStream) },
    onFailure: failStream
  })
  return stream
}

/** Returns the index after the last event that the caller has received. @throws ApiError `stream_token_invalid`. */
export function readNextIndex (lastEventId: string | undefined, streamId: string): number {
  if (lastEventId === undefined) return 0
  const separator = lastEventId.lastIndexOf(':')
  const index = lastEventId.slice(separator + 1)
  if (lastEventId.slice(0, separator) !== streamId || !/^\d{1,9}$/.test(index)) {
    throw new ApiError('stream_token_invalid', 'Last-Event-ID names an event of another stream')
  }
  return Number(index) + 1
}
