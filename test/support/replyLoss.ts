import { z } from "zod";
import { seededRandom } from "./seededRandom.js";

/** Lose the next `n` replies, or each reply with a probability, using a seeded generator. */
export const replyLossSchema = z.union([
    z.number().int().min(0),
    z.strictObject({ probability: z.number().min(0).max(1), seed: z.number().int() }),
]);
export type ReplyLossSetting = z.infer<typeof replyLossSchema>;

/** Decides which replies of committed transactions are lost. */
export class ReplyLoss {
    private left = 0;
    private draw: () => boolean = () => false;
    lost = 0;

    set(setting: ReplyLossSetting): void {
        if (typeof setting === "number") {
            this.left = setting;
            this.draw = () => false;
        } else {
            const random = seededRandom(setting.seed);
            this.left = 0;
            this.draw = () => random() < setting.probability;
        }
    }

    /** Decides whether the reply to the transaction that has just been committed is lost. */
    losesNext(): boolean {
        const loses = this.left > 0 || this.draw();
        this.left = Math.max(0, this.left - 1);
        this.lost += loses ? 1 : 0;
        return loses;
    }
}
