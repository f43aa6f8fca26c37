import { expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { BundleService } from "../../../version/bundle.js";
import { evacuateDomain } from "../domainEvacuation.js";
import type { Membership, Transact } from "../../membership/membership.js";
import { targetRowKey, type TargetRow } from "../../store/rows.js";
import { TableReplica } from "../../store/tableReplica.js";

const SERVICES = ["orders", "stock"];

/** Evacuates domain d2 as a member of d1, while d3 doesn't answer either. */
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
        isReachable: () => false,
        isDomainReachable: () => false,
        committed: () => undefined,
        serviceMoved: service => moved.push(service),
    });
    return { result, moved };
};

// Guards against moving keys into a domain that is lost as well, where no instance would serve them.
test("a domain that doesn't answer receives no keys", async () => {
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

// Guards against an audit trail that omits the services whose keys had been moved before a later one failed.
test("moved services are reported when a later write fails, and a lost reply isn't treated as a failure", async () => {
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
