import * as grpc from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";
import { OPERATOR_CALLS, type OperatorCallName } from "./operatorCalls.js";
import { protoPath } from "./protoPath.js";

/** A request as received by the server: the decoded message and the bytes that the signature covers. */
export interface RawRequest {
    bytes: Buffer;
    message: unknown;
}

/** A method of the operator service with its path and codecs. */
export type OperatorMethod = grpc.MethodDefinition<object, object>;

const loadService = (): Record<string, OperatorMethod> => {
    const loaded = loadSync(protoPath("operator.proto"), { longs: Number, defaults: true, enums: String });
    return loaded["sassafrasloom.operator.v1.Operator"] as Record<string, OperatorMethod>;
};

const methods = loadService();

/** The gRPC method of a call. */
export const operatorMethod = (name: OperatorCallName): OperatorMethod => methods[OPERATOR_CALLS[name].rpc];

/** The service definition for servers. Handlers receive each request together with its bytes. */
export const operatorServerDefinition = (): Record<string, grpc.MethodDefinition<RawRequest, object>> =>
    Object.fromEntries(
        Object.keys(OPERATOR_CALLS).map(key => {
            const method = operatorMethod(key as OperatorCallName);
            const requestDeserialize = (bytes: Buffer): RawRequest => ({
                bytes,
                message: method.requestDeserialize(bytes),
            });
            const requestSerialize = (request: RawRequest): Buffer => request.bytes;
            return [key, { ...method, requestDeserialize, requestSerialize }];
        }),
    );
