import { parseAddress, type Settings } from "./settings.js";

/** Settings in which fields are missing if their own values were invalid. */
export type PartialSettings = { [Section in keyof Settings]?: Partial<Settings[Section]> };

/** Violation of a rule that covers several fields; reported at the field `key`. */
export interface BrokenRule {
    section: keyof Settings;
    /** Key of the field in the schema. */
    key: string;
    remedy: string;
}

const requireBelow = (
    lower: number | undefined,
    upper: number | undefined,
    broken: (lower: number, upper: number) => BrokenRule,
): BrokenRule[] => (lower !== undefined && upper !== undefined && lower >= upper ? [broken(lower, upper)] : []);

const timingRules = (timing: Partial<Settings["timing"]>): BrokenRule[] => [
    // A single lost heartbeat must not cause a suspicion.
    ...requireBelow(times(timing.heartbeatMs, 2), timing.suspicionMs, minimum => ({
        section: "timing",
        key: "suspicionMs",
        remedy: `Set suspicion above two heartbeat periods (${minimum}ms), so that one lost heartbeat causes none.`,
    })),
    // A member renews its lease with each answered heartbeat, so the promise must outlast several of them.
    ...requireBelow(times(timing.heartbeatMs, 2), timing.promiseMs, minimum => ({
        section: "timing",
        key: "promiseMs",
        remedy: `Set promise above two heartbeat periods (${minimum}ms), so that the lease outlasts a lost heartbeat.`,
    })),
    ...requireBelow(times(timing.grantPeriodMs, 2), timing.grantTtlMs, minimum => ({
        section: "timing",
        key: "grantTtlMs",
        remedy: `Set grant-ttl above two grant periods (${minimum}ms), so that a grant outlasts a lost renewal.`,
    })),
    ...requireBelow(timing.probeTimeoutMs, timing.targetSilenceMs, minimum => ({
        section: "timing",
        key: "targetSilenceMs",
        remedy: `Set target-silence above probe-timeout (${minimum}ms), so that one late probe loses no target.`,
    })),
    ...requireBelow(timing.pollMs, plusOne(timing.fallbackPollMs), minimum => ({
        section: "timing",
        key: "fallbackPollMs",
        remedy: `Set fallback-poll to at least poll (${minimum}ms).`,
    })),
];

const times = (value: number | undefined, factor: number): number | undefined =>
    value === undefined ? undefined : value * factor;
const plusOne = (value: number | undefined): number | undefined => (value === undefined ? undefined : value + 1);

const listenRules = (listen: Partial<Settings["listen"]>): BrokenRule[] => {
    const broken: BrokenRule[] = [];
    const peers = parseAddress(listen.peers ?? "");
    if (peers?.host === "0.0.0.0" || peers?.host === "::") {
        broken.push({
            section: "listen",
            key: "peers",
            remedy: "Name the address by which other instances reach this one; it is registered in the table.",
        });
    }
    const keyByAddress = new Map<string, string>();
    for (const [key, address] of Object.entries(listen)) {
        const other = keyByAddress.get(address);
        if (other !== undefined && parseAddress(address)?.port !== 0) {
            broken.push({ section: "listen", key, remedy: `The address is also that of ${other}. Use another port.` });
        }
        keyByAddress.set(address, key);
    }
    return broken;
};

const tlsRules = (tls: Partial<Settings["tls"]>): BrokenRule[] =>
    tls.mode !== "mutual"
        ? []
        : (["certificate", "key", "authority"] as const)
              .filter(key => tls[key] === undefined)
              .map(key => ({
                  section: "tls",
                  key,
                  remedy: `Name the file, because mode is mutual; mode = plain turns transport security off.`,
              }));

/**
 * Checks the rules that cover several fields. Skips a rule if one of its fields is missing.
 *
 * @example
 * brokenSettingsRules({ timing: { heartbeatMs: 200, suspicionMs: 300 } })[0].key; // "suspicionMs"
 */
export const brokenSettingsRules = (settings: PartialSettings): BrokenRule[] => [
    ...timingRules(settings.timing ?? {}),
    ...listenRules(settings.listen ?? {}),
    ...tlsRules(settings.tls ?? {}),
];
