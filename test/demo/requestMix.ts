import type { DemoRequest } from "./demoRequest.js";
import type { Deployment } from "./deployments.js";

/**
 * Keys per service; few enough that each is requested several times a second. With rarer requests, the time until the
 * next request for a key would count as its unavailability.
 */
const LOOKUP_KEYS = 60;
const COMMAND_KEYS = 20;
/** Size of a drawing or ledger; larger than the credit window of a stream (256 KiB). */
const LONG_ANSWER_BYTES = 400_000;

interface MixEntry {
    weight: number;
    make: (pick: (limit: number) => number, number: number) => DemoRequest;
}

const lookup = (service: string, path: string, key: string): DemoRequest => ({
    service,
    method: "GET",
    path,
    key,
    body: undefined,
    idempotent: true,
    long: false,
    deadlineMs: 4_000,
});

const command = (service: string, path: string, key: string, body: unknown, deadlineMs: number): DemoRequest => ({
    service,
    method: "POST",
    path,
    key,
    body: JSON.stringify(body),
    idempotent: false,
    long: false,
    deadlineMs,
});

const download = (service: string, path: string): DemoRequest => ({
    service,
    method: "GET",
    path: `${path}&bytes=${LONG_ANSWER_BYTES}&chunkMs=4&serviceMs=40`,
    key: undefined,
    body: undefined,
    idempotent: true,
    long: true,
    deadlineMs: 15_000,
});

// The query parameter `call` makes each path unique, so that the answer to another request is detected.
const MIXES: Record<Deployment["name"], readonly MixEntry[]> = {
    steyrtal: [
        {
            weight: 62,
            make: (pick, call) => {
                const item = `tray-${pick(LOOKUP_KEYS)}`;
                return lookup("stock", `/stock/${item}?call=${call}`, item);
            },
        },
        {
            weight: 22,
            make: (pick, call) => {
                const customer = `customer-${pick(COMMAND_KEYS)}`;
                const order = { item: `tray-${pick(LOOKUP_KEYS)}`, pieces: 1 + pick(500) };
                return command("orders", `/orders?call=${call}`, customer, order, 5_000);
            },
        },
        {
            weight: 14.5,
            make: (pick, call) => {
                const pallet = `pallet-${pick(COMMAND_KEYS)}`;
                return command("labelling", `/labels/pallets/${pallet}?call=${call}`, pallet, { copies: 2 }, 5_000);
            },
        },
        {
            weight: 1.5,
            make: (pick, call) => download("drawings", `/drawings/mould-${pick(40)}/front.dxf?call=${call}`),
        },
    ],
    kerala: [
        {
            weight: 67,
            make: (pick, call) => {
                const account = `shop-${pick(LOOKUP_KEYS)}`;
                return lookup("balance", `/balances/${account}?call=${call}`, account);
            },
        },
        {
            weight: 22,
            make: (pick, call) => {
                const account = `shop-${pick(COMMAND_KEYS)}`;
                return command("refund", `/refunds?call=${call}`, account, { bottles: 1 + pick(24) }, 5_000);
            },
        },
        {
            weight: 10.4,
            make: (pick, call) => {
                const bottler = `bottler-${pick(COMMAND_KEYS)}`;
                const transfer = { to: `bottler-${pick(COMMAND_KEYS)}`, rupees: 1 + pick(100_000) };
                return command("settlement", `/settlements?call=${call}`, bottler, transfer, 10_000);
            },
        },
        {
            weight: 0.6,
            make: (pick, call) => download("ledger", `/ledgers/bottler-${pick(12)}/2026-${1 + pick(9)}?call=${call}`),
        },
    ],
};

/**
 * Chooses a random request of a deployment. `call` must be unique for each request.
 *
 * @example
 * drawRequest("kerala", seededRandom(7), 1).service; // "balance"
 */
export const drawRequest = (deployment: Deployment["name"], random: () => number, call: number): DemoRequest => {
    const entries = MIXES[deployment];
    let rest = random() * entries.reduce((sum, { weight }) => sum + weight, 0);
    const entry = entries.find(({ weight }) => (rest -= weight) < 0) ?? entries[0];
    return entry.make(limit => Math.floor(random() * limit), call);
};
