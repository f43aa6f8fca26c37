import type { Command } from "commander";
import { err, type Result } from "neverthrow";
import { MAX_AUDIT_PAGE } from "../connection/operatorCalls.js";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { EXIT_CODES, type CommandError, type ExitCode } from "./exitCodes.js";
import {
    runOperatorCommand,
    withOperatorOptions,
    type OperatorOptions,
    type OperatorSession,
} from "./operatorCommand.js";
import { formatTime } from "./textTable.js";

interface AuditOptions {
    domain?: string;
    instance?: string;
    after?: string;
    limit: string;
    verify?: boolean;
}

const verify = async (
    { client, output }: OperatorSession,
    { domain, instance }: AuditOptions,
): Promise<Result<ExitCode | void, CommandError>> => {
    const reply = await client.call("auditVerify", { domain, instance });
    return reply.map((value): ExitCode => {
        output.table(
            value,
            [
                { heading: "DOMAIN", text: chain => chain.domain },
                { heading: "INSTANCE", text: chain => chain.instance },
                { heading: "INCARNATION", text: chain => chain.incarnation },
                { heading: "RECORDS", text: chain => chain.records },
                { heading: "DROPPED", text: chain => chain.dropped },
                { heading: "END", text: chain => (chain.closed ? "closed" : "open") },
                { heading: "FAULTS", text: chain => chain.findings.length },
                { heading: "LAST DIGEST", text: chain => chain.head },
            ],
            value.chains,
            "No chains.",
        );
        const faults = value.chains.flatMap(chain =>
            chain.findings.map(finding => {
                const where = `${chain.domain}/${chain.instance}/${chain.incarnation}/${finding.sequence}`;
                return `${where}: ${finding.type}: ${finding.detail}`;
            }),
        );
        faults.forEach(fault => output.notice(fault));
        return faults.length > 0 ? EXIT_CODES["faults-found"] : EXIT_CODES.done;
    });
};

const read = async (
    { client, output }: OperatorSession,
    { domain, instance, after, limit }: AuditOptions,
): Promise<Result<ExitCode | void, CommandError>> => {
    const reply = await client.call("auditRead", { domain, instance, after, limit: Number(limit) });
    return reply.map(value => {
        output.table(
            value,
            [
                { heading: "TIME", text: entry => formatTime(entry.at) },
                { heading: "DOMAIN", text: entry => entry.domain },
                { heading: "INSTANCE", text: entry => entry.instance },
                { heading: "SEQUENCE", text: entry => entry.sequence },
                { heading: "ACTOR", text: entry => entry.actor },
                { heading: "ACTION", text: entry => entry.action },
                { heading: "SUBJECT", text: entry => entry.subject },
                { heading: "CAUSE", text: entry => entry.cause },
            ],
            value.entries,
            "No records.",
        );
        if (value.next !== undefined) {
            output.notice(`There are more records. Continue with --after ${value.next}`);
        }
    });
};

export const addAuditCommand = (parent: Command, environment: CommandEnvironment): void => {
    withOperatorOptions(parent.command("audit"), "sassafrasloom audit --domain linz --verify")
        .description("read the audit trail, or verify its chains")
        .option("--domain <name>", "only this failure domain")
        .option("--instance <name>", "only this instance; requires --domain")
        .option("--after <row>", "continue after this row")
        .option("--limit <count>", `records to read, at most ${MAX_AUDIT_PAGE}`, "100")
        .option("--verify", "verify the chains instead of reading them")
        .addHelpText(
            "after",
            "\nThe verification can't detect a missing end of a chain that is still open, or a chain that was deleted or\n" +
                "rewritten as a whole. Keep the last digests elsewhere to detect these.\n",
        )
        .action((options: OperatorOptions & AuditOptions) =>
            runOperatorCommand(environment, options, async session => {
                if (options.instance !== undefined && options.domain === undefined) {
                    return err<void, CommandError>({
                        type: "usage",
                        detail: "--instance requires --domain. Give the instance's failure domain as well.",
                    });
                }
                return options.verify === true ? verify(session, options) : read(session, options);
            }),
        );
};
