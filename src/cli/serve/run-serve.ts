import { randomUUID } from 'node:crypto';
import { ERRORS, gatewayError } from '../../core/errors';
import { brokenMachineRules } from '../../core/machine-rules';
import { NODE_EVENTS, startNode } from '../../core/node';
import { parseSettings } from '../../core/settings';
import { createSystemRandom } from '../../runtime/system-random';
import { createSystemClock } from '../../runtime/system-clock';
import { VERSION } from '../../runtime/version';
import { createWinstonLogger } from '../../runtime/winston-logger';
import { openRecording } from './open-recording';
import { readSettingsText } from './read-settings-text';

function nextStopSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    const stop = (signal: NodeJS.Signals) => resolve(signal);
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  });
}

/** Runs an instance; resolves with the exit code after a graceful stop. */
export async function serve(
  settingsPath: string | undefined,
  recordPath: string | undefined,
): Promise<number> {
  const settings = parseSettings(readSettingsText(settingsPath, process.env));
  const broken = brokenMachineRules(process.env);
  if (broken.length > 0) {
    const place = { step: 'check-environment' };
    throw gatewayError(ERRORS.machineRuleBroken, [broken.join('; ')], place);
  }
  const { instanceId, region } = settings;
  const logger = createWinstonLogger(settings.logLevel, { instance: instanceId, region });
  const node = await startNode({
    settings,
    logger,
    clock: createSystemClock(),
    random: createSystemRandom(),
    newRequestId: randomUUID,
    release: VERSION,
    ...(recordPath === undefined ? {} : { record: openRecording(recordPath, instanceId) }),
  });

  // Without a listener this signal ends the process, and whatever reloads all services of a machine would cut
  // every request that is open.
  process.on('SIGHUP', () => logger.event(NODE_EVENTS.reloadAsked));

  await nextStopSignal();
  void nextStopSignal().then(() => {
    logger.event(NODE_EVENTS.cutShort, { ...node.openWork() });
    process.exit(1);
  });
  await node.drain();
  await node[Symbol.asyncDispose]();
  return 0;
}
