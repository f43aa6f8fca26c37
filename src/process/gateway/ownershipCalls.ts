/** Keys that a target is granted or asked to release. Both ends are included. */
export interface GrantedKeys {
    from: number;
    to: number;
    /** Fencing token. */
    fence: number;
}

/** The target of a call. */
export interface CalledTarget {
    id: string;
    address: string;
}

/** Why a call to a target failed. */
export type CallFailure =
    /** No process listens at the address. */
    | { type: "refused" }
    /** Another target listens at the address. */
    | { type: "other-target" }
    /** The call may have arrived, and may take effect later. */
    | { type: "unanswered"; detail: string };

/** What a target's answer to a call states besides. */
export interface CallStatement {
    /** Whether the target states that it leaves. */
    leaving?: boolean;
}

/** What a target's answer to a grant leaves open. */
export interface GrantUncertainty {
    /** Whether the grant was made twice, and one copy without an answer of its own may be taken late. */
    isCopyOutstanding?: boolean;
}

/** A target's answer to a grant. */
export type GrantReply =
    | ((
          | { type: "granted" }
          /** The target has seen a higher fencing token. */
          | { type: "outdated" }
          | { type: "invalid"; status: number }
      ) &
          CallStatement &
          GrantUncertainty)
    | CallFailure;

/** A target's answer to a release. `handover` names the state that the next owner can take over. */
export type ReleaseReply = ({ type: "released"; handover: string | undefined } & CallStatement) | CallFailure;

/** Calls that change which keys a target owns. */
export interface OwnershipCalls {
    /** Grants or renews keys for `holdMs` milliseconds from the arrival of the call. */
    grant(
        target: CalledTarget,
        grant: GrantedKeys & { holdMs: number; handover: string | undefined },
        timeoutMs: number,
    ): Promise<GrantReply>;
    /** Ends the ownership; the target answers once work on these keys has ended. */
    release(target: CalledTarget, keys: GrantedKeys, timeoutMs: number): Promise<ReleaseReply>;
}
