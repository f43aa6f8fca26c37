// Checks of rules by what clients and upstreams have seen.

/** TWICE: requests that aren't idempotent and ran more than once. */
export const twice = (answers, runs) =>
    answers
        .filter(({ kind }) => kind === "non_idempotent")
        .map(answer => ({ answer, runs: runs.filter(({ id }) => id === answer.id) }))
        .filter(found => found.runs.length > 1);

/** REFUSED: requests that aren't idempotent, were answered with a promise not to run, and ran. */
export const refused = (answers, runs) =>
    answers
        .filter(({ kind, status }) => kind === "non_idempotent" && [408, 421, 429, 503].includes(status))
        .map(answer => ({ answer, runs: runs.filter(({ id }) => id === answer.id) }))
        .filter(found => found.runs.length > 0);

/** MIXED: successes without the signature and the body of a run of the same request. */
export const mixed = answers =>
    answers.filter(
        ({ status, id, headers, content }) =>
            status >= 200 &&
            status < 300 &&
            (headers["x-upstream-signature"]?.endsWith(`.${id}`) !== true || !content.endsWith(` ran ${id}`)),
    );

/** UNASKED: runs of requests that no client sent, or that were changed on the way. */
export const unasked = (answers, runs) => {
    const sent = new Map(answers.map(answer => [answer.id, answer]));
    return runs.filter(({ id, method, path, body }) => {
        const answer = sent.get(id);
        return answer === undefined || answer.method !== method || answer.path !== path || answer.body !== body;
    });
};

/**
 * OWNER, first sentence: keys that two upstreams held at the same time and on which both began requests in that time. `ends` has
 * the times at which lives of upstreams ended.
 */
export const owner = (holds, runs, ends = new Map()) => {
    const spans = [];
    for (const hold of holds) {
        const life = `${hold.upstream}@${hold.life}`;
        for (const span of spans.filter(each => each.life === life && each.from <= hold.to && hold.from <= each.to)) {
            if (span.until > hold.at) {
                // Parts beside the new grant or the release go on.
                if (span.from < hold.from) {
                    spans.push({ ...span, to: hold.from - 1, at: hold.at });
                }
                if (span.to > hold.to) {
                    spans.push({ ...span, from: hold.to + 1, at: hold.at });
                }
                span.until = hold.at;
            }
        }
        if (hold.what === "grant") {
            spans.push({
                life,
                at: hold.at,
                until: Math.min(hold.until, ends.get(life) ?? Infinity),
                from: hold.from,
                to: hold.to,
                fence: hold.fence,
            });
        }
    }
    const found = [];
    for (const [index, first] of spans.entries()) {
        for (const second of spans.slice(index + 1)) {
            const from = Math.max(first.from, second.from);
            const to = Math.min(first.to, second.to);
            const at = Math.max(first.at, second.at);
            const until = Math.min(first.until, second.until);
            if (first.life !== second.life && from <= to && at < until) {
                const begun = life =>
                    runs.some(
                        run =>
                            `${run.upstream}@${run.life}` === life &&
                            run.key >= from &&
                            run.key <= to &&
                            run.at >= at &&
                            run.at <= until,
                    );
                found.push({ first, second, at, until, bothBegan: begun(first.life) && begun(second.life) });
            }
        }
    }
    return found;
};

/** OWNER, second sentence: grants under a token that isn't above all with which other upstreams had the keys. */
export const tokens = holds => {
    const grants = holds.filter(({ what }) => what === "grant");
    const found = [];
    grants.forEach((grant, index) => {
        const life = `${grant.upstream}@${grant.life}`;
        const earlier = grants
            .slice(0, index)
            .find(
                other =>
                    `${other.upstream}@${other.life}` !== life &&
                    other.from <= grant.to &&
                    grant.from <= other.to &&
                    other.fence >= grant.fence,
            );
        if (earlier !== undefined) {
            found.push({ earlier, grant });
        }
    });
    return found;
};
