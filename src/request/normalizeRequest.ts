import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Header } from "../connection/peerProtocol.js";
import { PRIORITIES } from "../process/dispatch/admissionQueue.js";
import type { BundleService, RequestKind } from "../version/bundle.js";
import type { RequestKinds } from "../version/requestKinds.js";
import { parseIdentifier, refusalOfIdentifierError } from "./identifier.js";
import { CALLER_HEADER, DEADLINE_HEADER, IDENTIFIER_HEADER, KEY_HEADER, SERVICE_HEADER } from "./outcome.js";
import { positionOf } from "./position.js";
import { refuse, type Refusal } from "./refusal.js";

/** Maximum length of a key, in characters. */
export const MAX_KEY_LENGTH = 512;
/** Maximum deadline that a caller may set, in milliseconds. */
export const MAX_DEADLINE_MS = 3_600_000;
/** Maximum length of a caller name; longer names are truncated, since they are used only for fair queueing. */
const MAX_CALLER_LENGTH = 128;

/** Headers that aren't forwarded, because they apply to one connection or the router sets them itself. */
const EXCLUDED_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    KEY_HEADER,
    DEADLINE_HEADER,
    SERVICE_HEADER,
    IDENTIFIER_HEADER,
]);

/** A caller's request before validation. */
export interface CallerRequest {
    method: string;
    /** Path with query. */
    url: string;
    headers: IncomingHttpHeaders;
    remoteAddress: string;
}

/** A validated request without its body. */
export interface NormalizedRequest {
    service: BundleService;
    kind: RequestKind;
    bundleVersion: number;
    method: string;
    path: string;
    headers: Header[];
    caller: string;
    key: string;
    /** Canonical request identifier; empty for idempotent requests. */
    identifier: string;
    position: number;
    deadlineMs: number;
    /** Whether any target of the service may run it. */
    anyOwner: boolean;
    priority: number;
}

const joinValues = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value.join(", ") : value;

const pathOf = (url: string): string => {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
};

const validateKey = (service: BundleService, header: string | undefined): Result<string, Refusal> => {
    if (service.dividedBy === "none") {
        return ok("");
    }
    if (header === undefined || header === "") {
        return err(refuse("missing-key", `Service ${service.name} is divided by key.`));
    }
    if (header.length > MAX_KEY_LENGTH || /[^\x20-\x7e]/.test(header)) {
        return err(refuse("bad-key", `The key has ${header.length} characters or unprintable ones.`));
    }
    return ok(header);
};

const validateDeadline = (
    service: BundleService,
    kind: RequestKind,
    header: string | undefined,
): Result<number, Refusal> => {
    if (header === undefined) {
        return ok(kind.deadlineMs ?? service.deadlineMs);
    }
    const deadlineMs = Number(header);
    if (!/^\d{1,9}$/.test(header) || deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
        return err(refuse("bad-deadline", `Sassafrasloom-Deadline-Ms is ${JSON.stringify(header.slice(0, 32))}.`));
    }
    return ok(deadlineMs);
};

const validateIdentifier = (kind: RequestKind, header: string | undefined): Result<string, Refusal> => {
    if (kind.idempotent) {
        return ok("");
    }
    if (header === undefined || header === "") {
        return err(refuse("missing-identifier", `Requests of kind ${kind.name} may run at most once.`));
    }
    return parseIdentifier(header)
        .map(({ text }) => text)
        .mapErr(refusalOfIdentifierError);
};

/**
 * Validates a caller's request against the current bundle and adds defaults.
 *
 * @example
 * normalizeRequest(kinds, { method: "GET", url: "/stock/tray-30", headers, remoteAddress }).match(route, refuseCaller);
 */
export const normalizeRequest = (kinds: RequestKinds, request: CallerRequest): Result<NormalizedRequest, Refusal> => {
    const { headers, method } = request;
    const match = kinds.match(method, pathOf(request.url), joinValues(headers[SERVICE_HEADER]));
    switch (match.type) {
        case "unknown-service":
            return err(refuse("unknown-service", "No service of the bundle takes this request."));
        case "unknown-kind":
            return err(refuse("unknown-kind", `Service ${match.service.name} has no kind for this path.`));
        case "bad-method":
            return err(refuse("bad-method", `The path takes ${match.allowed.join(", ")}, not ${method}.`));
    }
    const { service, kind } = match;
    return validateKey(service, joinValues(headers[KEY_HEADER])).andThen(key =>
        validateIdentifier(kind, joinValues(headers[IDENTIFIER_HEADER])).andThen(identifier =>
            validateDeadline(service, kind, joinValues(headers[DEADLINE_HEADER])).map(deadlineMs => ({
                service,
                kind,
                bundleVersion: kinds.bundle.version,
                method,
                path: request.url,
                headers: forwardedHeaders(headers),
                caller: (joinValues(headers[CALLER_HEADER]) ?? request.remoteAddress).slice(0, MAX_CALLER_LENGTH),
                key,
                identifier,
                position: positionOf(service.name, service.dividedBy === "key" ? key : identifier),
                deadlineMs,
                anyOwner: service.dividedBy === "none" && kind.idempotent,
                priority: PRIORITIES.indexOf(kind.priority),
            })),
        ),
    );
};

/** Returns the headers that are forwarded to the target. */
const forwardedHeaders = (headers: IncomingHttpHeaders): Header[] => {
    const forwarded: Header[] = [];
    for (const name in headers) {
        const value = headers[name];
        if (value !== undefined && !EXCLUDED_HEADERS.has(name)) {
            forwarded.push({ name, value: Array.isArray(value) ? value.join(", ") : value });
        }
    }
    return forwarded;
};

/**
 * Returns the fingerprint of a request, by which crashes are attributed to it regardless of its identifier.
 *
 * @example
 * fingerprintOf("GET", "/stock/tray-30", body).toString("hex");
 */
export const fingerprintOf = (method: string, path: string, body: Uint8Array): Buffer =>
    createHash("sha256").update(`${method}\n${path}\n`).update(body).digest();
