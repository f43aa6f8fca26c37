import type { Bundle, BundleService, RequestKind } from "./bundle.js";
import { patternProblem, relatePatterns } from "./pathPattern.js";

/** A conflict between parts of a bundle. */
export interface BundleProblem {
    /** Section at which the problem is reported, such as `service stock` or `kind stock.lookup`. */
    section: string;
    /** Name in the file of the field that causes the problem, if there is one. */
    field?: string;
    remedy: string;
}

/** Names that a bundle declares, including those of invalid sections. */
export interface DeclaredNames {
    services: readonly string[];
    kinds: readonly string[];
}

/** Paths that the daemon answers itself. */
const RESERVED_PATHS = ["/healthz", "/sassafrasloom"];

const isUnder = (path: string, prefix: string): boolean =>
    prefix === "/" || path === prefix || path.startsWith(`${prefix}/`);

const pathProblems = (services: readonly BundleService[]): BundleProblem[] =>
    services.flatMap((service, index): BundleProblem[] => {
        const section = `service ${service.name}`;
        const problem = patternProblem(service.path);
        if (problem !== undefined || /[:*]/.test(service.path)) {
            const remedy =
                problem ?? "The path of a service is a plain prefix. Write parameters in the patterns of kinds.";
            return [{ section, field: "path", remedy }];
        }
        const reserved = RESERVED_PATHS.find(path => isUnder(service.path, path));
        if (reserved !== undefined) {
            return [{ section, field: "path", remedy: `${reserved} is answered by the daemon. Choose another path.` }];
        }
        const same = services.slice(0, index).find(other => other.path === service.path);
        return same === undefined
            ? []
            : [
                  {
                      section,
                      field: "path",
                      remedy: `The path is also that of service ${same.name}. Choose another one.`,
                  },
              ];
    });

const serviceProblems = (
    service: BundleService,
    kinds: readonly RequestKind[],
    names: DeclaredNames,
): BundleProblem[] => {
    const section = `service ${service.name}`;
    const problems: BundleProblem[] = [];
    const nonIdempotent = kinds.filter(kind => !kind.idempotent);
    if (!names.kinds.some(kind => kind.startsWith(`${service.name}.`))) {
        problems.push({
            section,
            remedy: `No request can reach the service. Add a section [kind ${service.name}.NAME].`,
        });
    }
    if (service.grants === "unchecked" && service.deadlineMs > service.deadlineCapMs) {
        problems.push({
            section,
            field: "deadline-ms",
            remedy: `Targets that don't check grants need a deadline of at most deadline-cap-ms (${service.deadlineCapMs}).`,
        });
    }
    if (service.record === "durable" && kinds.length > 0 && nonIdempotent.length === 0) {
        problems.push({
            section,
            field: "record",
            remedy: "Only non-idempotent kinds are recorded, and the service has none. Use record = memory.",
        });
    }
    const maxDeadline = Math.max(service.deadlineMs, ...nonIdempotent.map(kind => kind.deadlineMs ?? 0));
    // After its deadline a caller must be able to repeat a request and still learn the outcome.
    const minWindow = maxDeadline + 2 * service.clockSkewMs;
    if (nonIdempotent.length > 0 && service.identifierWindowMs < minWindow) {
        problems.push({
            section,
            field: "identifier-window-ms",
            remedy: `Use at least the longest deadline plus two clock skews (${minWindow}), so that requests can be repeated.`,
        });
    }
    if (service.slots < 2 && kinds.some(kind => kind.long)) {
        problems.push({
            section,
            field: "slots",
            remedy: "Long kinds get at most half of the slots, which is none of one. Use at least 2 slots.",
        });
    }
    return problems;
};

const kindProblems = (kind: RequestKind, bundle: Pick<Bundle, "services">, names: DeclaredNames): BundleProblem[] => {
    const section = `kind ${kind.name}`;
    const problems: BundleProblem[] = [];
    const service = bundle.services.find(({ name }) => name === kind.service);
    if (!names.services.includes(kind.service)) {
        problems.push({
            section,
            remedy: `There is no service ${kind.service}. Add [service ${kind.service}] or rename the kind.`,
        });
    }
    const problem = patternProblem(kind.pattern);
    if (problem !== undefined) {
        problems.push({ section, field: "pattern", remedy: problem });
    }
    if (service === undefined) {
        return problems;
    }
    if (!isUnder(kind.pattern, service.path)) {
        problems.push({
            section,
            field: "pattern",
            remedy: `The pattern is not under the path of its service. Start it with ${service.path}.`,
        });
    }
    const nested = bundle.services.find(
        other => other.path.length > service.path.length && isUnder(kind.pattern, other.path),
    );
    if (nested !== undefined) {
        problems.push({
            section,
            field: "pattern",
            remedy: `Requests to ${nested.path} go to service ${nested.name}, which has the longer path. Move the kind there.`,
        });
    }
    if (service.grants === "unchecked" && (kind.deadlineMs ?? 0) > service.deadlineCapMs) {
        problems.push({
            section,
            field: "deadline-ms",
            remedy: `Targets that don't check grants need a deadline of at most deadline-cap-ms (${service.deadlineCapMs}).`,
        });
    }
    if (new Set(kind.methods).size < kind.methods.length) {
        problems.push({ section, field: "methods", remedy: "A method is named twice. Name each method once." });
    }
    return problems;
};

const overlapProblems = (kinds: readonly RequestKind[]): BundleProblem[] =>
    kinds.flatMap((kind, index) =>
        kinds.slice(0, index).flatMap((other): BundleProblem[] => {
            const shared = kind.methods.filter(method => other.methods.includes(method));
            if (kind.service !== other.service || shared.length === 0) {
                return [];
            }
            const relation = relatePatterns(kind.pattern, other.pattern);
            if (relation !== "equal" && relation !== "crossing") {
                return [];
            }
            const what = relation === "equal" ? "the same paths" : "some of the same paths, and neither is narrower";
            const remedy = `The pattern matches ${what} as kind ${other.name} for ${shared.join(", ")}. Change one of them.`;
            return [{ section: `kind ${kind.name}`, field: "pattern", remedy }];
        }),
    );

const repeatedNames = (names: readonly string[], prefix: string): BundleProblem[] =>
    names
        .filter((name, index) => names.indexOf(name) < index)
        .map(name => ({ section: `${prefix} ${name}`, remedy: "The name is used twice. Rename one of the two." }));

/**
 * Checks the parts of a bundle against each other and returns all faults. Of two kinds whose patterns overlap, one must
 * be narrower; `normalizeBundle` puts it first, so that it is matched first.
 *
 * @example
 * validateBundle(bundle).map(problem => `${problem.section}: ${problem.remedy}`);
 */
export const validateBundle = (
    bundle: Pick<Bundle, "services" | "kinds">,
    names: DeclaredNames = {
        services: bundle.services.map(({ name }) => name),
        kinds: bundle.kinds.map(({ name }) => name),
    },
): BundleProblem[] => [
    ...repeatedNames(names.services, "service"),
    ...repeatedNames(names.kinds, "kind"),
    ...pathProblems(bundle.services),
    ...bundle.services.flatMap(service =>
        serviceProblems(
            service,
            bundle.kinds.filter(kind => kind.service === service.name),
            names,
        ),
    ),
    ...bundle.kinds.flatMap(kind => kindProblems(kind, bundle, names)),
    ...overlapProblems(bundle.kinds),
];
