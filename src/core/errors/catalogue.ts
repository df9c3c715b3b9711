import type { ErrorDefinition } from './types';

/** Keeps the argument types of each entry's message. */
function define<Args extends readonly unknown[]>(
  definition: ErrorDefinition<Args>,
): ErrorDefinition<Args> {
  return definition;
}

/** Every failure that an operator may read about. Refusals, which callers read, have their own catalogue. */
export const ERRORS = {
  settingsUnreadable: define({
    name: 'SettingsUnreadable',
    title: 'The settings could not be read',
    message: (source: string, reason: string) => `Settings from ${source}: ${reason}.`,
    hint: 'Give --settings FILE, --settings - for standard input, or COLTSFOOTWORKS_SETTINGS with the JSON itself.',
  }),
  documentUnreadable: define({
    name: 'DocumentUnreadable',
    title: 'A document could not be read',
    message: (path: string, reason: string) => `${path}: ${reason}.`,
    hint: 'Name a file that holds JSON, or - for standard input.',
  }),
  patchRefused: define({
    name: 'PatchRefused',
    title: 'The patch was not applied',
    message: (reason: string) => reason,
    hint: 'Read the latest version again, and write the patch against that.',
  }),
  instanceUnreachable: define({
    name: 'InstanceUnreachable',
    title: 'No instance answered its operators',
    message: (address: string, reason: string) => `${address}: ${reason}.`,
    hint: 'Give --instance HOST:PORT of an operators listener and --key with its operator key.',
  }),
  documentInvalid: define({
    name: 'DocumentInvalid',
    title: 'A document does not fit its schema',
    message: (document: string, problems: string) => `The ${document} has mistakes:\n${problems}`,
    hint: 'Correct the values named; the schemas directory holds a JSON Schema for your editor.',
  }),
  platformUnavailable: define({
    name: 'PlatformUnavailable',
    title: 'A platform service did not answer',
    message: (what: string, reason: string) => `${what}: ${reason}.`,
    hint: 'The instance goes on with what it knows; look at the platform service named.',
  }),
  peerUnavailable: define({
    name: 'PeerUnavailable',
    title: 'Another instance did not answer',
    message: (reason: string) => `The call failed: ${reason}.`,
    hint: 'Look whether that instance runs and whether its region can be reached.',
  }),
  listenerFailed: define({
    name: 'ListenerFailed',
    title: 'A listener could not be opened',
    message: (address: string, reason: string) => `Listening on ${address}: ${reason}.`,
    hint: 'Choose another address or port in the settings, or stop what holds it.',
  }),
  machineRuleBroken: define({
    name: 'MachineRuleBroken',
    title: 'The environment turns on what the machines forbid',
    message: (rules: string) => `${rules}.`,
    hint: 'Remove the variable from the environment of the process.',
  }),
} as const;
