import { createCli } from './cli/create-cli';

void createCli().runExit(process.argv.slice(2));
