import { KEY_COUNT } from "../../src/process/gateway/keyMap.js";
import type { OwnedService } from "./ownedService.js";

export const DOMAINS = ["linz", "steyr", "wels"];
const STEP_MS = 20;

/** Keys that targets of some domains hold now. */
export const heldIn = (service: OwnedService, domains: readonly string[]): number => {
    const now = service.clock.monotonicMs();
    return [...service.targets.living]
        .filter(({ id }) => domains.includes(service.registrations.get(id)?.domain ?? ""))
        .flatMap(({ held }) => held)
        .filter(({ until }) => until > now)
        .reduce((sum, { from, to }) => sum + to - from + 1, 0);
};

/** Time in milliseconds until targets outside some domains hold all keys. */
export const moveMs = async (service: OwnedService, domains: readonly string[], limitMs: number): Promise<number> => {
    const began = service.clock.monotonicMs();
    const others = DOMAINS.filter(domain => !domains.includes(domain));
    for (let elapsed = 0; elapsed < limitMs; elapsed += STEP_MS) {
        await service.advance(STEP_MS);
        if (heldIn(service, others) === KEY_COUNT) {
            return service.clock.monotonicMs() - began;
        }
    }
    throw new Error(
        `The owners in ${domains.join()} hold ${heldIn(service, domains)} keys, the others ${heldIn(service, others)}.\n` +
            service.targets.trace.slice(-40).join("\n"),
    );
};
