import type { EventDefinition } from '../events';

/** Events 5401 to 5499: software versions of the servers that begin streams. */
export const STREAM_VERSION_EVENTS = {
  several: {
    id: 5401,
    name: 'service-versions-several',
    level: 'info',
    text: 'Servers of several software versions serve a service. Its streams go on only at the version that began them.',
    action: 'Nothing during a rollout.',
  },
  single: {
    id: 5402,
    name: 'service-versions-single',
    level: 'info',
    text: 'Servers of one software version alone serve a service again.',
    action: 'Nothing.',
  },
  taken: {
    id: 5403,
    name: 'stream-taken-up',
    level: 'info',
    text: 'A caller takes a stream up; the version that began it was looked for.',
    action: 'If versions are often unknown, check whether the instances reach one another.',
  },
} as const satisfies Record<string, EventDefinition>;
