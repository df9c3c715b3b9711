import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { configurationSchema } from '../configuration';
import { settingsSchema } from '../settings';
import { readDocument } from './read-document';

interface Case {
  readonly name: string;
  /** Path in the sample, and what is put there; undefined removes it. */
  readonly at: readonly (string | number)[];
  readonly value: unknown;
  readonly path: string;
  readonly problem: RegExp;
}

const SETTINGS_CASES: readonly Case[] = [
  {
    name: 'a missing name',
    at: ['instanceId'],
    value: undefined,
    path: '/instanceId',
    problem: /missing; write a value of type string \(Name of this instance/,
  },
  {
    name: 'an unknown key, with those that may stand there',
    at: ['logLevels'],
    value: 'info',
    path: '/logLevels',
    problem: /unknown key; .*logLevel/,
  },
  {
    name: 'a host by name',
    at: ['listeners', 'peers', 'host'],
    value: 'gateway.example',
    path: '/listeners/peers/host',
    problem: /write an IP address/,
  },
  {
    name: 'a port out of range',
    at: ['listeners', 'callers', 'port'],
    value: 70_000,
    path: '/listeners/callers/port',
    problem: /65535/,
  },
  {
    name: 'a seed without its port',
    at: ['seedPeers', 0],
    value: '10.0.0.1',
    path: '/seedPeers/0',
    problem: /write ip:port/,
  },
  {
    name: 'a seed by its name',
    at: ['seedPeers', 0],
    value: 'gateway-1.example:7400',
    path: '/seedPeers/0',
    problem: /names are not looked up/,
  },
  {
    name: 'a secret that is too short',
    at: ['peerSecret'],
    value: 'short',
    path: '/peerSecret',
    problem: /at least 16 characters/,
  },
];

const CONFIGURATION_CASES: readonly Case[] = [
  {
    name: 'a region that is not there, with those that are',
    at: ['callers', 0, 'regions', 0],
    value: 'atlantis',
    path: '/callers/0/regions/0',
    problem: /unknown region "atlantis"; known are windhoek, walvis-bay, rundu/,
  },
  {
    name: 'a service that is not there',
    at: ['backendServers', 2, 'service'],
    value: 'none',
    path: '/backendServers/2/service',
    problem: /unknown service "none"/,
  },
  {
    name: 'a key in the clear',
    at: ['callers', 1, 'keySha256'],
    value: 'my key',
    path: '/callers/1/keySha256',
    problem: /64 hex digits/,
  },
  {
    name: 'a name that stands twice',
    at: ['callers', 1, 'id'],
    value: 'builders-desk',
    path: '/callers/1',
    problem: /stands twice/,
  },
  {
    name: 'a key of the other kind of service',
    at: ['services', 0, 'notRunStatuses'],
    value: [503],
    path: '/services/0/notRunStatuses',
    problem: /unknown key/,
  },
];

type Tree = Record<string | number, unknown>;

function withChange(sample: Tree, at: Case['at'], value: unknown): Tree {
  const copy = structuredClone(sample);
  const parents = at.slice(0, -1);
  const parent = parents.reduce<Tree>((node, part) => node[part] as Tree, copy);
  parent[at.at(-1) ?? ''] = value;
  return JSON.parse(JSON.stringify(copy)) as Tree;
}

const SUITES = [
  { file: 'settings.json', schema: settingsSchema, cases: SETTINGS_CASES },
  { file: 'configuration.json', schema: configurationSchema, cases: CONFIGURATION_CASES },
] as const;

for (const { file, schema, cases } of SUITES) {
  describe(`mistakes in ${file}`, () => {
    const sample = JSON.parse(readFileSync(`samples/omaruru/${file}`, 'utf8')) as Tree;

    it('are none in the sample', () => {
      assert.equal(readDocument(schema, sample).kind, 'valid');
    });

    for (const { name, at, value, path, problem } of cases) {
      it(`are named with their path and what to write: ${name}`, () => {
        const reading = readDocument(schema, withChange(sample, at, value));
        assert.ok(reading.kind === 'invalid');
        const found = reading.problems.find((one) => one.path === path);
        assert.match(found?.problem ?? JSON.stringify(reading.problems), problem);
      });
    }
  });
}
