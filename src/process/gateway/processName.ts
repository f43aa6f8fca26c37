import type { KeyRange } from "./keyMap.js";
import type { TargetEntry } from "./targetEntry.js";

const nameOf = (id: string, startedAtMs: number, address: string): string => `${id}@${startedAtMs}@${address}`;

/**
 * Names a process of a target. A process keeps its address, so an entry with another one is that of another process, or of
 * another writer.
 *
 * @example
 * processName(entry); // "i-7f3a91c2@1796532397447@10.128.0.9:8080"
 */
export const processName = ({
    id,
    startedAtMs,
    address,
}: Pick<TargetEntry, "id" | "startedAtMs" | "address">): string => nameOf(id, startedAtMs, address);

/**
 * Names the process that owns a range of keys, as `processName` does.
 *
 * @example
 * ownerName(range) === processName(entry);
 */
export const ownerName = ({ target, startedAtMs, address }: KeyRange): string => nameOf(target, startedAtMs, address);
