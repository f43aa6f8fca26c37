import type { Bundle, RequestKind } from "./bundle.js";
import { pathSegments } from "./pathPattern.js";

/** Sort key of a segment: literal text sorts before a parameter, and a parameter before `*`. */
const segmentRank = (segment: string): string => {
    if (segment === "*") {
        return "2";
    }
    return segment.startsWith(":") ? "1" : `0${segment}`;
};

const compareText = (a: string, b: string): number => (a < b ? -1 : Number(a > b));

// A pattern whose paths are a subset of another pattern's paths sorts before it at the first segment that differs.
const rankOf = (pattern: string): string => pathSegments(pattern).map(segmentRank).join("/");

const compareKinds = (a: RequestKind, b: RequestKind): number =>
    compareText(a.service, b.service) ||
    compareText(rankOf(a.pattern), rankOf(b.pattern)) ||
    compareText(a.name, b.name);

/**
 * Puts a bundle into canonical order: services and methods by name, kinds by service with narrower patterns before the
 * wider ones that contain them. Equivalent bundles are equal afterwards.
 *
 * @example
 * normalizeBundle(bundle).kinds.map(kind => kind.pattern); // ["/orders/latest", "/orders/:order"]
 */
export const normalizeBundle = (bundle: Bundle): Bundle => ({
    ...bundle,
    services: [...bundle.services].sort((a, b) => compareText(a.name, b.name)),
    kinds: bundle.kinds.map(kind => ({ ...kind, methods: [...kind.methods].sort() })).sort(compareKinds),
});
