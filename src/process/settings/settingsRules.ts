import { parseAddress, type Settings } from "./settings.js";

/** Settings of which some fields may be missing because they had faults of their own. */
export type PartialSettings = { [Section in keyof Settings]?: Partial<Settings[Section]> };

/** A fault in the combination of several fields; reported at the named field. */
export interface BrokenRule {
    section: keyof Settings;
    /** Key of the field in the schema. */
    key: string;
    remedy: string;
}

const below = (
    lower: number | undefined,
    upper: number | undefined,
    broken: (lower: number, upper: number) => BrokenRule,
): BrokenRule[] => (lower !== undefined && upper !== undefined && lower >= upper ? [broken(lower, upper)] : []);

const timingRules = (timing: Partial<Settings["timing"]>): BrokenRule[] => [
    // One lost heartbeat must not raise a suspicion.
    ...below(times(timing.heartbeatMs, 2), timing.suspicionMs, least => ({
        section: "timing",
        key: "suspicionMs",
        remedy: `Set suspicion above two heartbeat periods (${least}ms), so that one lost heartbeat raises none.`,
    })),
    // A member renews its lease with each answered heartbeat, so the promise must outlast several of them.
    ...below(times(timing.heartbeatMs, 2), timing.promiseMs, least => ({
        section: "timing",
        key: "promiseMs",
        remedy: `Set promise above two heartbeat periods (${least}ms), so that the lease outlasts a lost heartbeat.`,
    })),
    ...below(times(timing.grantPeriodMs, 2), timing.grantTtlMs, least => ({
        section: "timing",
        key: "grantTtlMs",
        remedy: `Set grant-ttl above two grant periods (${least}ms), so that a grant outlasts a lost renewal.`,
    })),
    ...below(timing.probeTimeoutMs, timing.targetSilenceMs, least => ({
        section: "timing",
        key: "targetSilenceMs",
        remedy: `Set target-silence above probe-timeout (${least}ms), so that one late probe loses no target.`,
    })),
    ...below(timing.pollMs, plusOne(timing.fallbackPollMs), least => ({
        section: "timing",
        key: "fallbackPollMs",
        remedy: `Set fallback-poll to at least poll (${least}ms).`,
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
    const seen = new Map<string, string>();
    for (const [key, address] of Object.entries(listen)) {
        const other = seen.get(address);
        if (other !== undefined && parseAddress(address)?.port !== 0) {
            broken.push({ section: "listen", key, remedy: `The address is also that of ${other}. Use another port.` });
        }
        seen.set(address, key);
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
 * Checks the fields against each other. Rules about fields that are missing are left out.
 *
 * @example
 * brokenSettingsRules({ timing: { heartbeatMs: 200, suspicionMs: 300 } })[0].key; // "suspicionMs"
 */
export const brokenSettingsRules = (settings: PartialSettings): BrokenRule[] => [
    ...timingRules(settings.timing ?? {}),
    ...listenRules(settings.listen ?? {}),
    ...tlsRules(settings.tls ?? {}),
];
