import type { Server } from "node:http";
import type { ExecutionLog } from "./executionLog.js";
import { createLongLivedServer, parseJson, readRequestBody, sendJson } from "./httpSupport.js";
import { targetControlSchema } from "./targetOptions.js";
import type { TargetStandIn } from "./targetStandIn.js";

/**
 * Server for the control address of a target: `POST /control` changes options and faults, `GET /log` returns the events
 * kept in memory. It is separate from the target's own address so that faults there don't affect it.
 */
export const createTargetControl = (target: TargetStandIn, log: ExecutionLog): Server =>
    createLongLivedServer(async (request, response) => {
        const body = await readRequestBody(request);
        if (request.method === "GET" && request.url === "/log") {
            sendJson(response, 200, { events: log.events });
        } else if (request.method === "POST" && request.url === "/control" && body !== undefined) {
            const control = targetControlSchema.safeParse(parseJson(body.toString()));
            if (control.success) {
                target.control(control.data);
            }
            sendJson(response, control.success ? 200 : 400, control.success ? {} : { error: control.error.message });
        } else {
            sendJson(response, 404, {});
        }
    });
