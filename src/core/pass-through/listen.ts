import type { Server } from 'node:http';
import { ERRORS, errorText, gatewayError } from '../errors';

/** Has a server listen; resolves with its port, or rejects with an error that operators can read. */
export function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      const place = { step: 'listen-requests' };
      reject(
        gatewayError(ERRORS.listenerFailed, [`${host}:${port}`, errorText(error)], place, error),
      );
    });
    server.listen({ host, port, backlog: 1_024 }, () => {
      const address = server.address();
      resolve(typeof address === 'object' && address !== null ? address.port : port);
    });
  });
}
