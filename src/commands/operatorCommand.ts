import { createPrivateKey } from "node:crypto";
import { readFileSync } from "node:fs";
import { Option, type Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import type { OperatorReply, OperatorStreamName } from "../connection/operatorCalls.js";
import {
    DEFAULT_OPERATOR_CALL_MS,
    OperatorClient,
    type OperatorClientError,
    type OperatorIdentity,
} from "../connection/operatorClient.js";
import { createTransportCredentials, type TransportSecurity } from "../connection/transportSecurity.js";
import { systemClock } from "../process/runtime/clock.js";
import type { Logger } from "../process/observability/logger.js";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { EXIT_CODES, exitCodeOf, type CommandError, type ExitCode } from "./exitCodes.js";
import { textTable, type TableColumn } from "./textTable.js";

/** Options of every command that calls a daemon. */
export interface OperatorOptions {
    address?: string;
    signer?: string;
    key?: string;
    ca?: string;
    certificate?: string;
    certificateKey?: string;
    plain?: boolean;
    timeoutMs: string;
    json?: boolean;
}

/** Writes a command's result as a table or, with `--json`, as JSON. */
export class OperatorOutput {
    constructor(
        private readonly environment: CommandEnvironment,
        private readonly json: boolean,
    ) {}

    /** Writes `reply` as JSON, or its rows as a table. */
    table<Row>(reply: unknown, columns: readonly TableColumn<Row>[], rows: readonly Row[], whenEmpty: string): void {
        if (this.json) {
            this.jsonLine(reply);
        } else {
            this.environment.writeOut(rows.length === 0 ? `${whenEmpty}\n` : textTable(columns, rows));
        }
    }

    /** Writes `reply` as JSON, or a line of text. */
    message(reply: unknown, text: string): void {
        if (this.json) {
            this.jsonLine(reply);
        } else {
            this.environment.writeOut(`${text}\n`);
        }
    }

    /** Writes a line of text to standard error, unless the output is JSON. */
    notice(text: string): void {
        if (!this.json) {
            this.environment.writeError(`${text}\n`);
        }
    }

    /** Writes a line of JSON, if the output is JSON. */
    update(value: unknown): void {
        if (this.json) {
            this.jsonLine(value);
        }
    }

    private jsonLine(value: unknown): void {
        this.environment.writeOut(`${JSON.stringify(value)}\n`);
    }
}

const noopLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

const usage = (detail: string): CommandError => ({ type: "usage", detail });

/** Adds an example to the help of a command. */
export const withExample = (command: Command, example: string): Command =>
    command.addHelpText("after", `\nExample:\n  $ ${example}\n`);

/**
 * Adds the options of a command that calls a daemon, and an example to its help.
 *
 * @example
 * withOperatorOptions(parent.command("moves"), "sassafrasloom moves").action(options => ...);
 */
export const withOperatorOptions = (command: Command, example: string): Command => {
    const option = (flags: string, description: string, variable: string) =>
        command.addOption(new Option(flags, description).env(`SASSAFRASLOOM_CLI_${variable}`));
    option("--address <host:port>", "operator interface of a daemon", "ADDRESS");
    option("--signer <name>", "name under which the daemon lists your key", "SIGNER");
    option("--key <file>", "your Ed25519 private key (PEM)", "KEY");
    option("--ca <file>", "certificates of the authorities that issued the daemon's certificate", "CA");
    option("--certificate <file>", "your client certificate", "CERTIFICATE");
    option("--certificate-key <file>", "private key of the client certificate", "CERTIFICATE_KEY");
    // Has no environment variable: commander treats a flag as set whatever the value of its variable, even `false`.
    command.option("--plain", "connect without encryption; only if the daemon's tls mode is plain");
    command.option("--timeout-ms <ms>", "time limit of a call in milliseconds", String(DEFAULT_OPERATOR_CALL_MS));
    command.option("--json", "write JSON instead of a table");
    return withExample(command, example);
};

const readIdentity = (options: OperatorOptions): Result<OperatorIdentity | undefined, CommandError> => {
    const { signer, key } = options;
    if (signer === undefined && key === undefined) {
        return ok(undefined);
    }
    if (signer === undefined || key === undefined) {
        return err(usage("Give --signer and --key together."));
    }
    try {
        const privateKey = createPrivateKey(readFileSync(key));
        return privateKey.asymmetricKeyType === "ed25519"
            ? ok({ signer, privateKey })
            : err(usage(`${key} is not an Ed25519 key. Generate one with \`sassafrasloom keygen\`.`));
    } catch (error) {
        if ((error as NodeJS.ErrnoException).syscall !== undefined) {
            const { code } = error as NodeJS.ErrnoException;
            return err({
                type: "unreadable-file",
                detail: `${key} can't be read (${code}). Give your private key's file with --key.`,
            });
        }
        // The parser's message isn't shown, because it could quote the key.
        const remedy = "Generate one with `sassafrasloom keygen`.";
        return err(usage(`${key} can't be read as an Ed25519 private key in PEM. ${remedy}`));
    }
};

const readSecurity = (options: OperatorOptions): Result<TransportSecurity, CommandError> => {
    const { ca, certificate, certificateKey, plain } = options;
    if (plain === true) {
        return ok({ type: "plain" });
    }
    if (ca === undefined || certificate === undefined || certificateKey === undefined) {
        return err(usage("Give --ca, --certificate and --certificate-key, or --plain."));
    }
    return ok({ type: "mutual-tls", caFile: ca, certificateFile: certificate, privateKeyFile: certificateKey });
};

/** Client and output of a command that calls a daemon. */
export interface OperatorSession {
    client: OperatorClient;
    output: OperatorOutput;
}

const openClient = (
    options: OperatorOptions,
): Result<{ client: OperatorClient; dispose: () => void }, CommandError> => {
    const { address } = options;
    const callMs = Number(options.timeoutMs);
    if (address === undefined) {
        return err(usage("Give the daemon's operator interface with --address, or set SASSAFRASLOOM_CLI_ADDRESS."));
    }
    const port = /^.+:(\d{1,5})$/.exec(address)?.[1];
    if (port === undefined || Number(port) < 1 || Number(port) > 65_535) {
        return err(usage(`--address ${address}: Give host:port with a port from 1 to 65535, such as 10.1.0.5:7403.`));
    }
    if (!Number.isInteger(callMs) || callMs < 1 || callMs > 3_600_000) {
        return err(usage(`--timeout-ms ${options.timeoutMs}: Give whole milliseconds from 1 to 3600000.`));
    }
    return readIdentity(options).andThen(identity =>
        readSecurity(options).andThen(security =>
            createTransportCredentials({
                interfaceName: "operators",
                security,
                clock: systemClock,
                logger: noopLogger,
            })
                .mapErr(({ type, detail }): CommandError =>
                    type === "certificate-unreadable"
                        ? {
                              type: "unreadable-file",
                              detail: `${detail} Check --ca, --certificate and --certificate-key.`,
                          }
                        : usage(`${detail} Check --ca, --certificate and --certificate-key.`),
                )
                .map(transport => {
                    const client = new OperatorClient({ address, credentials: transport.client, identity, callMs });
                    const dispose = () => {
                        client.dispose();
                        transport.dispose();
                    };
                    return { client, dispose };
                }),
        ),
    );
};

/** Writes the error of a failed command and sets the exit code. */
export const reportFailure = (environment: CommandEnvironment, error: CommandError, json: boolean): void => {
    environment.exitCode = exitCodeOf(error);
    environment.writeError(json ? `${JSON.stringify({ error })}\n` : `error (${error.type}): ${error.detail}\n`);
    if (environment.exitCode === EXIT_CODES["result-unknown"] && !json) {
        environment.writeError("A change may have been made. Check the state before you repeat the command.\n");
    }
};

/**
 * Opens a client, runs a command, and reports its error or sets its exit code. A command that succeeds returns undefined
 * for exit code 0, or another exit code, such as that for faults in the audit trail.
 */
export const runOperatorCommand = async (
    environment: CommandEnvironment,
    options: OperatorOptions,
    run: (session: OperatorSession) => Promise<Result<ExitCode | void, CommandError>>,
): Promise<void> => {
    const json = options.json === true;
    const opened = openClient(options);
    if (opened.isErr()) {
        reportFailure(environment, opened.error, json);
        return;
    }
    const { client, dispose } = opened.value;
    const result = await run({ client, output: new OperatorOutput(environment, json) }).finally(dispose);
    result.match(
        exitCode => {
            environment.exitCode = exitCode ?? EXIT_CODES.done;
        },
        error => reportFailure(environment, error, json),
    );
};

type ResultOf<Name extends OperatorStreamName> = Extract<OperatorReply<Name>, { result: unknown }>["result"];

/** Writes the progress of a long-running call and returns its result. */
export const followUpdates = async <Name extends OperatorStreamName>(
    updates: AsyncIterable<Result<OperatorReply<Name>, OperatorClientError>>,
    output: OperatorOutput,
): Promise<Result<ResultOf<Name>, OperatorClientError>> => {
    for await (const update of updates) {
        if (update.isErr()) {
            return err(update.error);
        }
        output.update(update.value);
        if ("result" in update.value) {
            return ok(update.value.result as ResultOf<Name>);
        }
        const { scope, state, detail, done, total } = update.value.progress;
        const amount = total > 0 ? ` (${done} of ${total})` : "";
        output.notice(`${scope}: ${state}${amount}${detail === "" ? "" : `: ${detail}`}`);
    }
    return err({ type: "connection-lost", detail: "The daemon ended the call without a result." });
};
