import type { OperatorClientError } from "../connection/operatorClient.js";

/** Exit codes of the command-line tool. */
export const EXIT_CODES = {
    done: 0,
    failed: 1,
    usage: 2,
    file: 3,
    unreachable: 4,
    "not-accepted-signer": 5,
    refused: 6,
    "not-found": 7,
    platform: 8,
    "faults-found": 9,
    "result-unknown": 10,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** What each exit code means, for `docs/cli.md`. */
export const EXIT_CODE_MEANINGS: Record<keyof typeof EXIT_CODES, string> = {
    done: "The command succeeded.",
    failed: "The daemon failed, or its answer couldn't be decoded (the versions may differ).",
    usage: "An argument, an option or the content of a file is invalid. Nothing was done.",
    file: "A file can't be read or written. Nothing was done.",
    unreachable: "The daemon can't be reached. Nothing was done.",
    "not-accepted-signer": "The daemon didn't accept the signature, its time or the signer. Nothing was done.",
    refused: "The current state doesn't allow the change, another rollout won, or a domain didn't confirm.",
    "not-found": "The named target, instance, domain or fingerprint doesn't exist.",
    platform: "The daemon can't reach the platform.",
    "faults-found": "`audit --verify` found faults.",
    "result-unknown": "The answer was lost or late. A change may have been made.",
};

/** Why a command failed. */
export type CommandError =
    | OperatorClientError
    /** An invalid argument, option or content of a file. */
    | { type: "usage"; detail: string }
    /** A file that can't be read. */
    | { type: "unreadable-file"; detail: string };

const EXIT_CODE_BY_ERROR: Record<CommandError["type"], ExitCode> = {
    usage: EXIT_CODES.usage,
    "unreadable-file": EXIT_CODES.file,
    "invalid-request": EXIT_CODES.usage,
    "daemon-unreachable": EXIT_CODES.unreachable,
    unsigned: EXIT_CODES["not-accepted-signer"],
    "malformed-signature": EXIT_CODES["not-accepted-signer"],
    "unlisted-signer": EXIT_CODES["not-accepted-signer"],
    "bad-signature": EXIT_CODES["not-accepted-signer"],
    "outside-window": EXIT_CODES["not-accepted-signer"],
    replayed: EXIT_CODES["not-accepted-signer"],
    "wrong-instance": EXIT_CODES["not-accepted-signer"],
    "too-many-calls": EXIT_CODES.refused,
    refused: EXIT_CODES.refused,
    "not-accepted": EXIT_CODES.refused,
    "not-found": EXIT_CODES["not-found"],
    "platform-unavailable": EXIT_CODES.platform,
    "result-unknown": EXIT_CODES["result-unknown"],
    "daemon-timeout": EXIT_CODES["result-unknown"],
    "connection-lost": EXIT_CODES["result-unknown"],
    "protocol-mismatch": EXIT_CODES.failed,
    internal: EXIT_CODES.failed,
};

export const exitCodeOf = (error: CommandError): ExitCode => EXIT_CODE_BY_ERROR[error.type];
