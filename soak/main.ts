/** Starts the soak: real processes on loopback under seeded faults. Logs stay in the folder that is named at the end. */
import process from 'node:process';
import { createSoakCli } from './soak-command';

void createSoakCli().runExit(process.argv.slice(2));
