import { FLEET_KINDS, type FleetAnswer, type FleetKind, type FleetMember, type GatewayFleet } from "./gatewayFleet.js";
import { pause } from "./waitFor.js";

/** A request of a caller that isn't repeated. */
export interface FirstTry extends FleetAnswer {
    member: string;
    kind: FleetKind;
    /** Milliseconds from the beginning of the load to its sending, and to its end. */
    sentAt: number;
    endedAt: number;
}

/** Part of the first tries that must be served at instances that are cut off, of that at the others. */
const LEAST_SHARE = 2 / 3;
/** Number and share of the first tries that may fail in any case. */
const ALLOWED_FAILURES = 10;
const ALLOWED_SHARE = 1 / 50;

/** Sends requests of all kinds to each member, evenly in time, and collects how they ended. */
export const sendFirstTries = async (
    fleet: GatewayFleet,
    options: { forMs: number; perSecond: number; kinds?: readonly FleetKind[] },
): Promise<FirstTry[]> => {
    const { forMs, perSecond, kinds = FLEET_KINDS } = options;
    const began = performance.now();
    const tries: Promise<FirstTry>[] = [];
    const ask = async (member: FleetMember, kind: FleetKind): Promise<FirstTry> => {
        const sentAt = performance.now() - began;
        const answer = await fleet.request(member, kind);
        return { ...answer, member: member.name, kind, sentAt, endedAt: performance.now() - began };
    };
    for (let count = 0; (count * 1_000) / perSecond < forMs; count++) {
        await pause(Math.max(0, (count * 1_000) / perSecond - (performance.now() - began)));
        fleet.members.forEach((member, index) => tries.push(ask(member, kinds[(count + index) % kinds.length])));
    }
    return Promise.all(tries);
};

/** How first tries at some instances, and at all others, ended. */
export interface RecoveryFigures {
    cutOff: { served: number; tries: number };
    others: { served: number; tries: number };
    /** Whether the sentence of the rule RECOVER on instances without targets is broken. */
    isBroken: boolean;
}

/** Holds the first tries that were sent from a time on against the rule RECOVER. */
export const recoveryOf = (tries: readonly FirstTry[], names: readonly string[], fromMs: number): RecoveryFigures => {
    const count = (isMeant: (name: string) => boolean) => {
        const meant = tries.filter(({ member, sentAt }) => isMeant(member) && sentAt >= fromMs);
        return { served: meant.filter(({ status }) => status === 200).length, tries: meant.length };
    };
    const cutOff = count(name => names.includes(name));
    const others = count(name => !names.includes(name));
    const shareOf = ({ served, tries: all }: { served: number; tries: number }) => (all === 0 ? 1 : served / all);
    const failures = cutOff.tries - cutOff.served;
    const isWorse = shareOf(cutOff) < LEAST_SHARE * shareOf(others);
    const areMany = failures > ALLOWED_FAILURES + ALLOWED_SHARE * (cutOff.tries + others.tries);
    return { cutOff, others, isBroken: isWorse && areMany };
};
