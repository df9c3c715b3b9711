import type { EventDefinition } from '../events';

/** Events 3400 to 3499: what engines are ordered to have. */
export const ENGINE_ORDER_EVENTS = {
  ordered: {
    id: 3400,
    name: 'engine-ordered',
    level: 'info',
    text: 'An engine was ordered to load or unload a model, or to change its role.',
    action: 'None; shows what was ordered, why, and what the engine answered.',
  },
  fenced: {
    id: 3401,
    name: 'engine-order-fenced',
    level: 'info',
    text: 'An engine refused an order, since it has seen a later one; it is looked at again.',
    action: 'None; another instance gave orders at the same time.',
  },
  failed: {
    id: 3402,
    name: 'engine-order-failed',
    level: 'warn',
    text: 'An engine did not carry out an order.',
    action: 'Look at the engine; the order is given again while it is wanted.',
  },
  blocked: {
    id: 3403,
    name: 'placement-blocked',
    level: 'warn',
    text: 'A model can’t be placed without leaving its region for a time; it stays as it is.',
    action: 'Give the region another engine or a free slot, or want the model on more engines.',
  },
  configurationOld: {
    id: 3404,
    name: 'placement-configuration-old',
    level: 'warn',
    text: 'An engine has had orders of a later configuration than the one in force here; none are given.',
    action: 'Look why this instance lacks the later version.',
  },
  converged: {
    id: 3405,
    name: 'placement-converged',
    level: 'info',
    text: 'The engines of a service have what they should in this region.',
    action: 'None.',
  },
  unreachable: {
    id: 3406,
    name: 'engine-look-failed',
    level: 'debug',
    text: 'An engine did not tell what it has.',
    action: 'Look at the engine; server health says whether it is down.',
  },
} as const satisfies Record<string, EventDefinition>;
