import { request } from "undici";
import type { InstanceChange } from "./laggingList.js";
import { platformStatisticsSchema, type PlatformControl, type PlatformStatistics } from "./platformStandIn.js";

/** Posts JSON to a control address; throws unless the answer is 200. */
export const postControl = async (address: string, path: string, body: unknown): Promise<void> => {
    const response = await request(`http://${address}${path}`, { method: "POST", body: JSON.stringify(body) });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        throw new Error(`POST ${path} on ${address} answered ${response.statusCode}: ${text}`);
    }
};

/**
 * Client for controlling a platform stand-in from a test.
 *
 * @example
 * await new PlatformHandle(address).control({ table: { outage: "unavailable" } });
 */
export class PlatformHandle {
    constructor(readonly address: string) {}

    get url(): string {
        return `http://${this.address}`;
    }

    control(control: PlatformControl): Promise<void> {
        return postControl(this.address, "/control", control);
    }

    changeInstance(change: InstanceChange): Promise<void> {
        return postControl(this.address, "/instances", change);
    }

    async statistics(): Promise<PlatformStatistics> {
        const response = await request(`${this.url}/statistics`);
        return platformStatisticsSchema.parse(await response.body.json());
    }
}
