import { writeFileSync } from "node:fs";
import { renderCliPage } from "../src/commands/cliPage.js";
import { processEnvironment } from "../src/commands/commandEnvironment.js";
import { LOCAL_COMMANDS } from "../src/commands/localCommands.js";
import { createProgram } from "../src/commands/program.js";
import { renderMetricsPage } from "../src/process/observability/metricsPage.js";

// Generates the reference pages of the command line and the metrics. Must run in the root folder of the project.
writeFileSync("docs/cli.md", renderCliPage(createProgram(processEnvironment(), LOCAL_COMMANDS)));
writeFileSync("docs/metrics.md", renderMetricsPage());
