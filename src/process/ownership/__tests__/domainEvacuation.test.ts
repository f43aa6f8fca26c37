import { expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { BundleService } from "../../../version/bundle.js";
import { evacuateDomain } from "../domainEvacuation.js";
import type { Membership, Transact } from "../../membership/membership.js";
import { targetRowKey, type TargetRow } from "../../store/rows.js";
import { TableReplica } from "../../store/tableReplica.js";

const SERVICES = ["orders", "stock"];

/** Evacuates d2 of three domains as a member of d1, of which d3 is silent, too. */
const evacuate = async (transact: Transact) => {
    const replica = new TableReplica();
    const row = (service: string, domain: string, index: number): TargetRow => ({
        service,
        target: `${service}-${domain}`,
        domain,
        address: "127.0.0.1:1",
        slices: [[index * 1_000, (index + 1) * 1_000]],
        dispatcher: `${domain}-e1.1`,
        term: index + 1,
        state: "serving",
        attempt: "",
    });
    const rows = SERVICES.flatMap(service => ["d1", "d2", "d3"].map((domain, index) => row(service, domain, index)));
    replica.apply(rows.map(value => ({ key: targetRowKey(value.service, value.target), version: 1, value })));
    const moved: string[] = [];
    const result = await evacuateDomain({
        domain: "d2",
        by: "anna",
        statement: "Power is off.",
        services: SERVICES.map(name => ({ name, onDomainLoss: "evacuate-by-command", slots: 6 }) as BundleService),
        replica,
        membership: {
            ownCondition: () => ({ key: "member/d1/d1-e1", version: 1 }),
            identity: () => ({ instance: "d1-e1", domain: "d1", incarnation: "d1-e1.1" }),
        } as unknown as Membership,
        transact,
        isHeard: () => false,
        isDomainHeard: () => false,
        committed: () => undefined,
        serviceMoved: service => moved.push(service),
    });
    return { result, moved };
};

// Guards against moving keys into a domain that is lost as well, where nobody would serve them.
test("a silent domain receives no keys", async () => {
    const written: string[] = [];
    const { result } = await evacuate(async (_conditions, writes) => {
        written.push(...writes.map(({ key }) => key));
        return ok({ type: "committed", rows: [] });
    });
    expect(result._unsafeUnwrap()).toEqual({ services: 2, targets: 2, slices: 2 });
    expect(written.filter(key => key.startsWith("target/")).sort()).toEqual([
        "target/orders/orders-d1",
        "target/orders/orders-d2",
        "target/stock/stock-d1",
        "target/stock/stock-d2",
    ]);
});

// Guards against an audit trail without the services that had moved when a later one failed.
test("what has moved is reported when a later write fails, and a lost reply isn't taken for a failure", async () => {
    for (const [type, expected] of [
        ["platform-unknown", "result-unknown"],
        ["platform-unavailable", "platform-unavailable"],
    ] as const) {
        let writes = 0;
        const { result, moved } = await evacuate(async () =>
            ++writes === 1 ? ok({ type: "committed", rows: [] }) : err({ type, detail: "No answer." }),
        );
        expect(result._unsafeUnwrapErr().type).toBe(expected);
        expect(moved).toEqual(["orders"]);
    }
});
