import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';
import process from 'node:process';

/** Ports below those that the kernel gives to outgoing connections, so that none of these takes one meanwhile. */
const FIRST_PORT = 20_000;
const PORTS = 10_000;
/** Test files run in processes of their own; each begins at another place. */
const STEP_PER_PROCESS = 37;

let nextOffset = (process.pid * STEP_PER_PROCESS) % PORTS;

async function canListen(host: string, port: number): Promise<boolean> {
  const server = createServer();
  const socket = createSocket('udp4');
  try {
    server.listen(port, host);
    await once(server, 'listening');
    socket.bind(port, host);
    await once(socket, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
    socket.close();
  }
}

/** A port that is free now on each of `hosts`, over TCP and UDP: instances of one test need the same one. */
export async function freePort(hosts: readonly string[]): Promise<number> {
  for (let tries = 0; tries < PORTS; tries += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORTS;
    const results = await Promise.all(hosts.map((host) => canListen(host, port)));
    if (results.every(Boolean)) return port;
  }
  throw new Error('No port is free.');
}
