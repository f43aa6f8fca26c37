import { Command, InvalidArgumentError } from "commander";
import { PLAIN_POLICY, PRODUCT_POLICY, replay } from "./replay/replay.js";
import { readReplayLoad, REPLAY_NAMES } from "./replay/replayLoad.js";
import { loadScenario, scenarioNames } from "./support/loadScenario.js";
import { reportOf, type ScenarioReport } from "./support/scenario.js";

const parseSeed = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidArgumentError("The seed must be an integer from 0 to 999999999.");
    }
    return Number(text);
};

const parseSeeds = (text: string): number[] => {
    const [first, last] = text.split("-").map(parseSeed);
    if (last === undefined || last < first || last - first > 1_000) {
        throw new InvalidArgumentError("The seeds must be an ascending range of at most 1001 seeds, such as 1-20.");
    }
    return Array.from({ length: last - first + 1 }, (_, index) => first + index);
};

interface RunOptions {
    seed: number;
    seeds?: number[];
    json: boolean;
    list: boolean;
    quick: boolean;
    traces?: string;
}

const printReadable = ({ scenario, seed, bounds, held, baseline, product }: ScenarioReport): void => {
    console.log(`${scenario}, seed ${seed}`);
    console.log("baseline", JSON.stringify(baseline, undefined, 2));
    console.log("product", JSON.stringify(product, undefined, 2));
    console.table(bounds);
    console.log(held ? "All measurements are within their bounds." : "At least one measurement is outside its bound.");
};

const list = async (): Promise<void> => {
    for (const name of scenarioNames()) {
        const scenario = await loadScenario(name);
        console.log(`${name}: ${scenario.isOk() ? scenario.value.summary : ""}`);
    }
};

const run = async (name: string, { seed, seeds = [seed], json, quick, traces }: RunOptions): Promise<void> => {
    const scenario = await loadScenario(name);
    if (scenario.isErr()) {
        const { known } = scenario.error;
        console.error(`Unknown scenario ${JSON.stringify(name)}. Known scenarios: ${known.join(", ")}.`);
        process.exitCode = 2;
        return;
    }
    for (const each of seeds) {
        const startedAt = performance.now();
        const seconds = () => ((performance.now() - startedAt) / 1000).toFixed(1);
        const progress = (text: string) => console.error(`[bench ${seconds()} s] ${text}`);
        const report = reportOf(name, each, await scenario.value.run({ seed: each, quick, traces, progress }));
        progress("done");
        if (!json) {
            printReadable(report);
        }
        console.log(JSON.stringify(report));
    }
};

const replayCommand = new Command("replay")
    .description("Simulate a load in virtual time with the product's policy and with the baseline policy.")
    .requiredOption("--load <file or name>", `JSON file, or one of ${REPLAY_NAMES.join(", ")}`)
    .option("--seed <number>", "seed of the random arrivals", parseSeed, 1)
    .option("--json", "print only the JSON report", false)
    .action(({ load, seed, json }: { load: string; seed: number; json: boolean }) => {
        const read = readReplayLoad(load);
        if (read.isErr()) {
            console.error(read.error.detail);
            process.exitCode = 2;
            return;
        }
        const product = replay(read.value, seed, PRODUCT_POLICY);
        const plain = replay(read.value, seed, PLAIN_POLICY);
        if (!json) {
            console.table({ product, plain });
        }
        console.log(JSON.stringify({ load, seed, product, plain }));
    });

await new Command("bench")
    .enablePositionalOptions()
    .addCommand(replayCommand)
    .description("Benchmarks the router against a baseline router. The last line of the output is a JSON report.")
    .argument("[scenario]", "name of the scenario")
    .option("--seed <number>", "seed of the random load", parseSeed, 1)
    .option("--seeds <range>", "run once for each seed of a range such as 1-20", parseSeeds)
    .option("--quick", "only check that the scenario runs to its end, with a short load", false)
    .option("--traces <folder>", "folder for logs and other traces of runs")
    .option("--json", "print only the JSON report", false)
    .option("--list", "list the scenarios", false)
    .action(async (name: string | undefined, options: RunOptions, command: Command) => {
        if (options.list) {
            await list();
        } else if (name === undefined) {
            command.error("error: missing argument 'scenario'; --list shows the scenarios", { exitCode: 2 });
        } else {
            await run(name, options);
        }
    })
    .parseAsync();
// Connections left open by a failed scenario would keep the process alive.
process.exit();
