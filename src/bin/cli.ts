#!/usr/bin/env node
import { processEnvironment } from "../commands/commandEnvironment.js";
import { LOCAL_COMMANDS } from "../commands/localCommands.js";
import { createProgram, runProgram } from "../commands/program.js";

// Daemons are called by IP address. gRPC then sets the IP address as the TLS server name, and Node writes a deprecation
// warning that would mix with the output.
process.noDeprecation = true;

const environment = processEnvironment();
await runProgram(createProgram(environment, LOCAL_COMMANDS), process.argv.slice(2), environment);
// Exits explicitly after flushing the output: a connection that a daemon accepted but never answered would otherwise
// keep the process alive.
process.stdout.write("", () => process.stderr.write("", () => process.exit(environment.exitCode)));
