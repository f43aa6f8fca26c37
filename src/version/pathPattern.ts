/** Segments of a path or a path pattern, without empty ones. */
export const pathSegments = (path: string): string[] => path.split("/").filter(segment => segment.length > 0);

/** How two patterns relate by the sets of paths that they match. */
export type PatternRelation = "disjoint" | "equal" | "within" | "contains" | "crossing";

const isParameter = (segment: string): boolean => segment.startsWith(":");

/**
 * Compares the sets of paths that two patterns match. `within` means that every path of the first matches the second.
 *
 * @example
 * relatePatterns("/orders/latest", "/orders/:order"); // "within"
 */
export const relatePatterns = (first: string, second: string): PatternRelation => {
    const a = pathSegments(first);
    const b = pathSegments(second);
    const restA = a[a.length - 1] === "*";
    const restB = b[b.length - 1] === "*";
    const fixedA = restA ? a.slice(0, -1) : a;
    const fixedB = restB ? b.slice(0, -1) : b;
    if ((fixedA.length < fixedB.length && !restA) || (fixedB.length < fixedA.length && !restB)) {
        return "disjoint";
    }
    // A pattern is wider where only it matches any segment, or matches a rest that the other one doesn't match.
    let widerA = restA && (!restB || fixedA.length < fixedB.length);
    let widerB = restB && (!restA || fixedB.length < fixedA.length);
    for (let index = 0; index < Math.min(fixedA.length, fixedB.length); index++) {
        const anyA = isParameter(fixedA[index]);
        const anyB = isParameter(fixedB[index]);
        if (!anyA && !anyB && fixedA[index] !== fixedB[index]) {
            return "disjoint";
        }
        widerA ||= anyA && !anyB;
        widerB ||= anyB && !anyA;
    }
    if (widerA && widerB) {
        return "crossing";
    }
    if (widerA) {
        return "contains";
    }
    return widerB ? "within" : "equal";
};

/** Why a pattern or path is invalid, or `undefined` if it is valid. */
export const patternProblem = (pattern: string): string | undefined => {
    const segments = pathSegments(pattern);
    const names = segments.filter(isParameter);
    if (/[?#\s]/.test(pattern)) {
        return "A pattern has no query, fragment or white space. Remove it.";
    }
    if (pattern !== "/" && (pattern.includes("//") || pattern.endsWith("/"))) {
        return "Empty segments have no meaning. Remove doubled and trailing slashes.";
    }
    if (segments.some(segment => segment === "." || segment === "..")) {
        return "Write the pattern without the segments . and ..";
    }
    if (segments.some((segment, index) => segment.includes("*") && (segment !== "*" || index < segments.length - 1))) {
        return "The character * stands alone and only as the last segment.";
    }
    if (names.some(name => !/^:[A-Za-z][A-Za-z0-9_]*$/.test(name)) || segments.some(s => s.lastIndexOf(":") > 0)) {
        return "Write a parameter as a whole segment of a colon and letters, digits or underscores, such as :order.";
    }
    return new Set(names).size < names.length ? "Give each parameter of the pattern its own name." : undefined;
};
