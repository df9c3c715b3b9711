import type { Socket } from 'node:net';
import { canHaveShape, writeEndlessly } from '../standins/endless-answers';
import type { EndlessAnswer, EndlessRequest, EndlessShape } from '../standins/endless-answers';
import type { EndlessRead, EndlessTime } from './types';

/** Starts of servers that answer without end for a time. */
export interface EndlessServers {
  /** Times that have ended. */
  readonly times: readonly EndlessTime[];
  /** Answers without end so far, in order of their begin. */
  reads(): readonly EndlessRead[];
  /** Returns what a server sends; undefined if it answers as ever. */
  shapeOf(server: string): EndlessShape | undefined;
  /** Begins an answer without end; returns false if the server answers as ever. */
  answer(server: string, requestId: string, asked: EndlessRequest, socket: Socket): boolean;
  begin(server: string, shape: EndlessShape): void;
  end(server: string): void;
}

interface BegunAnswer {
  readonly server: string;
  readonly requestId: string;
  readonly shape: EndlessShape;
  readonly atMs: number;
  readonly answer: EndlessAnswer;
}

/** Creates servers that all answer as ever. */
export function createEndlessServers(): EndlessServers {
  const begun = new Map<string, { readonly shape: EndlessShape; readonly fromMs: number }>();
  const times: EndlessTime[] = [];
  const answers: BegunAnswer[] = [];
  return {
    times,
    reads: () =>
      answers.map(({ server, requestId, shape, atMs, answer }) => ({
        server,
        requestId,
        shape: shape.kind,
        atMs,
        isOpen: answer.isOpen(),
      })),
    shapeOf: (server) => begun.get(server)?.shape,
    answer(server, requestId, asked, socket) {
      const shape = begun.get(server)?.shape;
      if (shape === undefined || !canHaveShape(shape, asked)) return false;
      const answer = writeEndlessly(shape, asked, socket);
      answers.push({ server, requestId, shape, atMs: Date.now(), answer });
      return true;
    },
    begin(server, shape) {
      begun.set(server, { shape, fromMs: Date.now() });
    },
    end(server) {
      const time = begun.get(server);
      if (time === undefined) return;
      begun.delete(server);
      times.push({ server, fromMs: time.fromMs, toMs: Date.now() });
    },
  };
}
