import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkPromises, eventText, plainBody, streamBody } from './promises';
import type { CallerAttempt } from './types';

const ORDER: CallerAttempt = {
  requestId: 'r-1',
  address: '127.0.0.1:1',
  atMs: 0,
  endedAtMs: 0,
  hasLeft: false,
  isResumable: false,
  kind: 'nonIdempotent',
  isBoundToRegion: false,
  maxAttempts: 1,
  key: 'k-farm',
  status: 200,
  isWhole: true,
  isSigned: true,
  body: plainBody('r-1'),
};
const STREAM: CallerAttempt = {
  ...ORDER,
  kind: 'stream',
  maxAttempts: 2,
  body: streamBody('r-1'),
};

interface Case {
  readonly name: string;
  readonly attempt: CallerAttempt;
  readonly servers: readonly string[];
  readonly broken: readonly string[];
  /** What the servers received, if it is not just the account of the key. */
  readonly seen?: { readonly account?: string | undefined; readonly sawKey?: boolean };
}

const CASES: readonly Case[] = [
  {
    name: 'an order that ran for another account',
    attempt: ORDER,
    servers: ['s-1'],
    seen: { account: 'dealer' },
    broken: ['wrongAccount'],
  },
  {
    name: 'an order that ran for nobody',
    attempt: ORDER,
    servers: ['s-1'],
    seen: { account: undefined },
    broken: ['wrongAccount'],
  },
  {
    name: 'a key that reached a server',
    attempt: ORDER,
    servers: ['s-1'],
    seen: { sawKey: true },
    broken: ['keyPassedOn'],
  },
  {
    name: 'a key of nobody that was served',
    attempt: { ...ORDER, key: 'k-of-nobody' },
    servers: ['s-1'],
    seen: { account: undefined },
    broken: ['unknownKeyServed'],
  },
  {
    name: 'a key of nobody that was refused',
    attempt: { ...ORDER, key: 'k-of-nobody', status: 401, body: '' },
    servers: [],
    broken: [],
  },
  { name: 'an order that ran once', attempt: ORDER, servers: ['s-1'], broken: [] },
  {
    name: 'an order that ran twice',
    attempt: ORDER,
    servers: ['s-1', 's-2'],
    broken: ['ranTwice', 'tooManyServers'],
  },
  {
    name: 'a refusal of an order that has run',
    attempt: { ...ORDER, status: 503, body: '' },
    servers: ['s-1'],
    broken: ['refusedButRan'],
  },
  {
    name: 'a connection that ended after an order had run',
    attempt: { ...ORDER, status: undefined, body: '' },
    servers: ['s-1'],
    broken: [],
  },
  {
    name: "another request's answer",
    attempt: { ...ORDER, body: plainBody('r-2') },
    servers: ['s-1'],
    broken: ['wrongAnswer'],
  },
  {
    name: 'an answer without a signature',
    attempt: { ...ORDER, isSigned: false },
    servers: ['s-1'],
    broken: ['wrongAnswer'],
  },
  { name: 'a stream that went on elsewhere', attempt: STREAM, servers: ['s-1', 's-2'], broken: [] },
  {
    name: 'a stream with an event twice',
    attempt: { ...STREAM, body: eventText('r-1', 1) + streamBody('r-1') },
    servers: ['s-1'],
    broken: ['corruptStream'],
  },
  {
    name: 'a stream that ends early and looks whole',
    attempt: { ...STREAM, body: eventText('r-1', 1) },
    servers: ['s-1'],
    broken: ['corruptStream'],
  },
  {
    name: 'a stream that is broken off and looks it',
    attempt: { ...STREAM, body: eventText('r-1', 1), isWhole: false },
    servers: ['s-1'],
    broken: [],
  },
];

describe('the promises that a soak checks', () => {
  for (const { name, attempt, servers, seen, broken } of CASES) {
    it(`${broken.length === 0 ? 'are kept' : 'are broken'} by ${name}`, () => {
      const { requestId } = attempt;
      const told = { server: 's-1@1', atMs: 0, account: 'farm', sawKey: false, ...seen };
      const runs = servers.map((serverId) => ({ requestId, serverId, ...told }));
      const found = checkPromises([attempt], runs).map(({ promise }) => promise);
      assert.deepEqual(found, broken);
    });
  }
});
