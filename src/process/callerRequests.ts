import type { AnswerControl, CallerResponse, ReceivedRequest } from "../connection/callerServer.js";
import { fingerprintOf, normalizeRequest } from "../request/normalizeRequest.js";
import { refuse, type Refusal } from "../request/refusal.js";
import { RoutedRequest, type RoutingServices } from "../request/routedRequest.js";
import type { RequestKinds } from "../version/requestKinds.js";
import type { RequestObserver } from "./observability/requestObserver.js";
import type { Logger } from "./observability/logger.js";

const NO_ANSWER: AnswerControl = { cancel: () => undefined, credit: () => undefined };

/**
 * Handles callers' requests to this instance, from their arrival to the end of their answers.
 *
 * @example
 * const answered = requests.answer(received, response);
 * answered.cancel();
 */
export class CallerRequests {
    private openCount = 0;
    private nextTrace = 1;

    constructor(
        private readonly options: {
            instance: string;
            /** Kinds of the bundle in force; `undefined` before the first one. */
            kinds: () => RequestKinds | undefined;
            routing: RoutingServices;
            observer: Pick<RequestObserver, "requestEnded">;
            log: Pick<Logger, "debug">;
        },
    ) {}

    /** Number of requests that have not been answered yet. */
    get open(): number {
        return this.openCount;
    }

    /** Counts a request that was refused before its service was known. */
    refusedEarly(refusal: Refusal): void {
        this.options.observer.requestEnded("", refusal, 0, this.options.routing.clock.monotonicMs());
    }

    answer(request: ReceivedRequest, response: CallerResponse): AnswerControl {
        const { instance, routing, kinds } = this.options;
        const currentKinds = kinds();
        if (currentKinds === undefined) {
            return this.refuseEarly(response, refuse("no-bundle", "This instance has no bundle yet."));
        }
        const normalized = normalizeRequest(currentKinds, request);
        if (normalized.isErr()) {
            return this.refuseEarly(response, normalized.error);
        }
        const fingerprint = fingerprintOf(request.method, request.url, request.body);
        const trace = `${instance}-${this.nextTrace++}`;
        const close = this.trackRequest(normalized.value.service.name, trace);
        const sink: CallerResponse = {
            head: (status, headers) => response.head(status, headers),
            data: chunk => response.data(chunk),
            end: whole => {
                close(whole ? undefined : refuse("answer-lost", "The answer broke off."));
                response.end(whole);
            },
            refused: refusal => {
                close(refusal);
                response.refused(refusal);
            },
        };
        const routed = new RoutedRequest(normalized.value, request.body, fingerprint, trace, sink, routing);
        routed.start();
        return {
            cancel: () => {
                close(refuse("answer-lost", "The caller has gone."));
                routed.cancel();
            },
            credit: bytes => routed.credit(bytes),
        };
    }

    private refuseEarly(response: CallerResponse, refusal: Refusal): AnswerControl {
        this.refusedEarly(refusal);
        response.refused(refusal);
        return NO_ANSWER;
    }

    /** Counts an open request. The returned function records its end; further calls have no effect. */
    private trackRequest(service: string, trace: string): (refusal: Refusal | undefined) => void {
        const { routing, observer, log } = this.options;
        const receivedAt = routing.clock.monotonicMs();
        let isOpen = true;
        this.openCount++;
        return refusal => {
            if (isOpen) {
                isOpen = false;
                this.openCount--;
                if (refusal !== undefined) {
                    log.debug("A request was refused.", { trace, service, reason: refusal.type });
                }
                observer.requestEnded(service, refusal, routing.clock.monotonicMs() - receivedAt, receivedAt);
            }
        };
    }
}
