import type { Bundle, BundleService, RequestKind } from "./bundle.js";

interface CompiledKind {
    kind: RequestKind;
    segments: string[];
}

interface CompiledService {
    service: BundleService;
    kinds: CompiledKind[];
}

/** Result of matching a request against one bundle version. */
export type KindMatch =
    | { type: "matched"; service: BundleService; kind: RequestKind }
    | { type: "unknown-service" }
    | { type: "unknown-kind"; service: BundleService }
    | { type: "bad-method"; service: BundleService; allowed: string[] };

const segmentsOf = (path: string): string[] => path.split("/").filter(segment => segment.length > 0);

const segmentsMatch = (pattern: readonly string[], path: readonly string[]): boolean => {
    const wildcard = pattern[pattern.length - 1] === "*";
    const fixed = wildcard ? pattern.slice(0, -1) : pattern;
    if (wildcard ? path.length < fixed.length : path.length !== fixed.length) {
        return false;
    }
    return fixed.every((segment, index) => segment.startsWith(":") || segment === path[index]);
};

/**
 * The services and request kinds of one bundle version, compiled for matching.
 *
 * @example
 * const match = new RequestKinds(bundle).match("GET", "/stock/tray-30", undefined);
 */
export class RequestKinds {
    private readonly services: CompiledService[];

    constructor(readonly bundle: Bundle) {
        this.services = bundle.services
            .map(service => ({
                service,
                kinds: bundle.kinds
                    .filter(kind => kind.service === service.name)
                    .map(kind => ({ kind, segments: segmentsOf(kind.pattern) })),
            }))
            // The longest path prefix wins, so that the path of a service can be below that of another one.
            .sort((a, b) => b.service.path.length - a.service.path.length);
    }

    service(name: string): BundleService | undefined {
        return this.services.find(entry => entry.service.name === name)?.service;
    }

    /** Finds the service (by name if given, else by path prefix) and the kind of a request. `path` has no query. */
    match(method: string, path: string, serviceName: string | undefined): KindMatch {
        const entry = this.services.find(({ service }) =>
            serviceName !== undefined
                ? service.name === serviceName
                : path === service.path || path.startsWith(service.path === "/" ? "/" : `${service.path}/`),
        );
        if (entry === undefined) {
            return { type: "unknown-service" };
        }
        const segments = segmentsOf(path);
        const candidates = entry.kinds.filter(candidate => segmentsMatch(candidate.segments, segments));
        if (candidates.length === 0) {
            return { type: "unknown-kind", service: entry.service };
        }
        const found = candidates.find(candidate => (candidate.kind.methods as string[]).includes(method));
        if (found === undefined) {
            const allowed = candidates.flatMap(candidate => candidate.kind.methods);
            return { type: "bad-method", service: entry.service, allowed: [...new Set<string>(allowed)] };
        }
        return { type: "matched", service: entry.service, kind: found.kind };
    }
}
