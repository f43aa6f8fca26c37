import { jest } from "@jest/globals";
import { DOMAINS, heldIn, moveMs } from "../../../../test/support/evacuatedDomains.js";
import { KEYED_SERVICE, OwnedService, type OwnedInstance } from "../../../../test/support/ownedService.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import type { LogFields } from "../../observability/logger.js";
import { KEY_COUNT } from "../keyMap.js";

/** Longest work on keys that are being released, in milliseconds. */
const LONG_WORK_MS = 2_300;
/** Time from the writing of a row within which the keys have moved, in milliseconds. */
const MOVED_WITHIN_MS = 3_000;
/** Time from the loss of an assigner until another one has acquired the lease and has moved keys, in milliseconds. */
const SUCCESSION_MS = 12_000;
/** Time in which the grants of targets that can't be reached end and their keys are assigned to others, in milliseconds. */
const LOST_MS = 14_000;

interface System {
    service: OwnedService;
    log: { message: string; fields: LogFields }[];
}

/** Instances of which one has assigned the keys of nine targets in three domains. */
const start = async (instances: readonly string[], seed = 7): Promise<System> => {
    jest.spyOn(Math, "random").mockImplementation(seededRandom(seed));
    const log: System["log"] = [];
    const service: OwnedService = new OwnedService(seed, name => {
        const write = (message: string, fields: LogFields = {}) => {
            log.push({ message, fields });
            service.note(`${name}: ${message} ${JSON.stringify(fields)}`);
        };
        return { ...SILENT_LOGGER, info: write, warn: write, error: write };
    });
    service.targets.maxWorkMs = LONG_WORK_MS;
    for (let index = 0; index < 9; index++) {
        service.startTarget(`t${index}`, `t${index}:80`, KEYED_SERVICE, DOMAINS[index % DOMAINS.length]);
    }
    instances.forEach(name => service.startInstance(name));
    await service.advance(12_000);
    service.copy();
    expect(service.targets.heldKeys()).toBe(KEY_COUNT);
    expect(heldIn(service, ["wels"])).toBeGreaterThan(0);
    return { service, log };
};

const holderOf = ({ instances }: OwnedService): OwnedInstance => {
    const holder = instances.find(({ assigners }) => assigners.lease.isHeld());
    if (holder === undefined) {
        throw new Error("No instance holds the lease.");
    }
    return holder;
};

const finish = ({ service }: System) => {
    expect(service.targets.violations).toEqual([]);
    expect(service.targets.heldKeys()).toBe(KEY_COUNT);
    service.dispose();
};

describe("Owners in an evacuated failure domain", () => {
    afterEach(() => jest.restoreAllMocks());

    it("guards against keys that stay there, or move without a handover", async () => {
        const system = await start(["a1", "a2"]);
        const { service, log } = system;
        log.splice(0);
        service.setEvacuated("wels", true);
        await moveMs(service, ["wels"], MOVED_WITHIN_MS);
        await service.advance(1_000);
        const moves = log.filter(({ message }) => message.includes("have the new owner"));
        expect(moves.length).toBeGreaterThan(0);
        expect(moves.filter(({ fields }) => fields.handover !== true)).toEqual([]);
        expect(log.filter(({ message }) => /wels owns no keys of service stock any more/.test(message))).toHaveLength(
            1,
        );
        expect(holderOf(service).assigners.evacuatedKeys()).toEqual([]);
        finish(system);
    });

    it("guards against keys that return while the evacuation lasts, and against targets that get none after it", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await service.advance(20_000);
        expect(heldIn(service, ["wels"])).toBe(0);
        service.setEvacuated("wels", false);
        await service.advance(30_000);
        expect(heldIn(service, ["wels"])).toBeGreaterThan(KEY_COUNT / 6);
        finish(system);
    });

    it("guards against keys that are lost because every domain is evacuated", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        DOMAINS.forEach(domain => service.setEvacuated(domain, true));
        await service.advance(20_000);
        expect(service.targets.heldKeys()).toBe(KEY_COUNT);
        service.setEvacuated("linz", false);
        await moveMs(service, ["steyr", "wels"], MOVED_WITHIN_MS);
        await service.advance(1_000);
        finish(system);
    });

    it("guards against keys that go to a domain whose evacuation is next, or don't leave it", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await moveMs(service, ["wels"], MOVED_WITHIN_MS);
        await service.advance(1_000);
        service.setEvacuated("steyr", true);
        await moveMs(service, ["wels", "steyr"], MOVED_WITHIN_MS);
        await service.advance(1_000);
        finish(system);
    });

    it.each([
        [1, 50],
        [2, 300],
        [3, 600],
        [4, 1_000],
        [5, 2_000],
    ])(
        "guards against keys that move twice since a second evacuation begins with the first (seed %i, %i ms later)",
        async (seed, afterMs) => {
            const system = await start(["a1", "a2"], seed);
            const { service, log } = system;
            log.splice(0);
            service.setEvacuated("wels", true);
            await service.advance(afterMs);
            service.setEvacuated("steyr", true);
            await moveMs(service, ["wels", "steyr"], MOVED_WITHIN_MS);
            await service.advance(1_000);
            const moves = log.filter(({ message }) => message.includes("have the new owner"));
            expect(moves.filter(({ fields }) => fields.handover !== true)).toEqual([]);
            finish(system);
        },
    );

    it("guards against a handover that is lost since its receiver is evacuated before it has taken the keys", async () => {
        const system = await start(["a1", "a2"]);
        const { service, log } = system;
        const setCut = (cut: "calls" | undefined) =>
            service.instances.forEach(({ link }) =>
                [...service.registrations.values()]
                    .filter(({ domain }) => domain === "steyr")
                    .forEach(({ process }) => link.cut(process.address, cut)),
            );
        log.splice(0);
        service.setEvacuated("wels", true);
        await service.advance(50);
        setCut("calls");
        await service.advance(600);
        service.setEvacuated("steyr", true);
        // Until the first grants have ended without an answer.
        await service.advance(1_000);
        setCut(undefined);
        await moveMs(service, ["wels", "steyr"], SUCCESSION_MS);
        await service.advance(1_000);
        expect(log.filter(({ message }) => message.includes("weren't taken"))).toEqual([]);
        finish(system);
    });

    it("guards against keys without an owner because the row is removed while they move", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await service.advance(500);
        service.setEvacuated("wels", false);
        await service.advance(20_000);
        expect(heldIn(service, ["wels"])).toBeGreaterThan(0);
        finish(system);
    });

    it("guards against keys that stay there because the holder of the lease is lost while they move", async () => {
        const system = await start(["a1", "a2", "a3"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await service.advance(400);
        service.killInstance(holderOf(service));
        await moveMs(service, ["wels"], SUCCESSION_MS);
        await service.advance(1_000);
        finish(system);
    });

    it("guards against keys that stay there because the store refuses the holder of the lease", async () => {
        const system = await start(["a1", "a2", "a3"]);
        const { service } = system;
        holderOf(service).store.isRejected = true;
        service.setEvacuated("wels", true);
        await moveMs(service, ["wels"], SUCCESSION_MS);
        await service.advance(1_000);
        finish(system);
    });

    it("guards against keys that wait for targets in another domain that is cut off", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        const steyr = [...service.registrations.values()].filter(({ domain }) => domain === "steyr");
        const setCut = (cut: "both" | undefined) =>
            service.instances.forEach(({ link }) => steyr.forEach(({ process }) => link.cut(process.address, cut)));
        setCut("both");
        await service.advance(2_500);
        service.setEvacuated("wels", true);
        await moveMs(service, ["wels"], MOVED_WITHIN_MS);
        await moveMs(service, ["wels", "steyr"], LOST_MS);
        setCut(undefined);
        await service.advance(15_000);
        expect(heldIn(service, ["wels"])).toBe(0);
        finish(system);
    });

    it("guards against keys for an evacuated domain from an instance that has started meanwhile", async () => {
        const system = await start(["a1"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await service.advance(5_000);
        service.startInstance("a2");
        await service.advance(3_000);
        service.killInstance(holderOf(service));
        for (let elapsed = 0; elapsed < 20_000; elapsed += 500) {
            await service.advance(500);
            expect(heldIn(service, ["wels"])).toBe(0);
        }
        expect(holderOf(service).name).toBe("a2");
        finish(system);
    });

    it("guards against keys that are lost, or have two owners, when all machines there lose power", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await service.advance(400);
        [...service.registrations.values()]
            .filter(({ domain }) => domain === "wels")
            .forEach(({ process }) => service.targets.end(process, true));
        await moveMs(service, ["wels"], LOST_MS);
        finish(system);
    });

    it("guards against keys that return because the store is restored from a copy without the row", async () => {
        const system = await start(["a1", "a2"]);
        const { service } = system;
        service.setEvacuated("wels", true);
        await service.advance(5_000);
        service.restore(() => 0);
        await service.advance(1_000);
        service.setEvacuated("wels", true);
        for (let elapsed = 0; elapsed < 20_000; elapsed += 500) {
            await service.advance(500);
            expect(heldIn(service, ["wels"])).toBe(0);
        }
        finish(system);
    });
});
