import type { Dispatcher } from 'undici';
import { createLengthCheck } from '../answers';
import { isEndToEndHeader } from '../pass-through/headers';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, Header, ResponseSink } from '../serving/types';

function toHeaders(raw: Record<string, string | string[] | undefined>): Header[] {
  return Object.entries(raw).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value]).map((one) => ({ name, value: one ?? '' })),
  );
}

function malformed(detail: string, serverId: string): RefusalError {
  return new RefusalError(REFUSALS.serverFailed, {
    detail,
    step: 'read-answer',
    peer: serverId,
    evidence: { kind: 'lostAfterSending', cause: 'malformed' },
  });
}

/** Throws where the head shows that this is not the answer that was asked for, or cannot be known whole. */
function checkHead(
  { method, requestId, service }: GatewayRequest,
  { statusCode, headers }: Dispatcher.ResponseData,
  serverId: string,
): void {
  const answeredId = headers['x-request-id'];
  if (service.echoesRequestId && answeredId !== requestId) {
    throw malformed('The answer belongs to another request.', serverId);
  }
  const hasBody = method !== 'HEAD' && statusCode !== 204 && statusCode !== 304;
  const isFramed = 'content-length' in headers || 'transfer-encoding' in headers;
  // Without either, the end of the connection is the end of the answer, and so is every broken connection.
  if (hasBody && !isFramed) throw malformed('The answer states no length.', serverId);
}

function refusedWithoutRun(
  { service }: GatewayRequest,
  statusCode: number,
  serverId: string,
): RefusalError | undefined {
  if (service.kind !== 'plain' || !service.notRunStatuses.includes(statusCode)) return undefined;
  return new RefusalError(REFUSALS.serverRefused, {
    detail: `The server answered ${statusCode}, which the configuration declares as "did not run".`,
    step: 'read-answer',
    peer: serverId,
    evidence: { kind: 'refusedByServer', declaredNotRun: true },
  });
}

/** Passes a whole answer on; throws a `RefusalError` where it is not the one asked for or not whole. */
export async function passAnswerOn(
  response: Dispatcher.ResponseData,
  request: GatewayRequest,
  sink: ResponseSink,
  serverId: string,
): Promise<void> {
  checkHead(request, response, serverId);
  const notRun = refusedWithoutRun(request, response.statusCode, serverId);
  if (notRun !== undefined) throw notRun;
  const headers = toHeaders(response.headers).filter(({ name }) => isEndToEndHeader(name));
  const length = createLengthCheck(request.method, response.statusCode, headers);
  sink.sendHead({ status: response.statusCode, headers });
  for await (const chunk of response.body) {
    const problem = length.addChunk((chunk as Uint8Array).length);
    if (problem !== undefined) throw malformed(problem, serverId);
    await sink.sendChunk(chunk as Uint8Array);
  }
  const problem = length.atEnd();
  if (problem !== undefined) throw malformed(problem, serverId);
  sink.end();
}
