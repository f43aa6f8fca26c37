import type { IncomingMessage } from "node:http";
import type { Result } from "neverthrow";
import type { CallFields } from "../../connection/gatewayServer.js";
import type { Header } from "../../connection/peerProtocol.js";
import type { AnswerFacts, GatewayCall } from "../../request/gatewayCall.js";
import type { RouteConfig } from "../../version/routeConfig.js";
import type { ConfigProblem } from "./configKeeper.js";
import type { OwnershipCalls } from "./ownershipCalls.js";
import type { RowStore } from "./rowStore.js";
import type { TargetEntry } from "./targetEntry.js";

/** The platform as the gateway uses it; implemented outside the product. */
export interface GatewayPlatform {
    store: RowStore;
    calls: OwnershipCalls;
    /** Tables of the operator's config and of the target entries. */
    tables: { config: string; configKey: string; targets: string };
    decodeConfig(value: Buffer): Result<RouteConfig, ConfigProblem>;
    /** The failure domain that a row with this key in the config's table asks to evacuate; `undefined` for another row. */
    decodeEvacuation(key: string): string | undefined;
    /** Decodes a target's entry; `undefined` for a row that is not a valid entry. */
    decodeTarget(id: string, value: Buffer): TargetEntry | undefined;
    fieldsOf(headers: IncomingMessage["headers"]): CallFields;
    isReserved(header: string): boolean;
    targetHeaders(call: GatewayCall, target: string, leftMs: number): string[];
    factsOf(status: number, headers: Header[]): AnswerFacts;
}
