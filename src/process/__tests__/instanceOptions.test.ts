import { expect, test } from "@jest/globals";
import { z } from "zod";
import { DEFAULT_ANSWER_WINDOW_BYTES } from "../../connection/answerSink.js";
import { instanceOptions } from "../instanceOptions.js";
import { parseSettings } from "../settings/loadSettings.js";
import { settingsSchema, type Settings } from "../settings/settings.js";

const TEXT = `
[instance]
name = a1
domain = d1
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
table = http://127.0.0.1:7000
objects = http://127.0.0.1:7000
instances = http://127.0.0.1:7000
[timing]
grant-margin = 70ms
quarantine = 2min
[limits]
queue-length = 12
[tls]
mode = plain
`;

const readSettings = (): Settings => parseSettings("daemon.ini", TEXT, {})._unsafeUnwrap();

/** Records which fields are read. Copying a whole section fails, because it also reads fields that nothing uses. */
const recording = (settings: Settings, read: Set<string>): Settings =>
    Object.fromEntries(
        Object.entries(settings).map(([section, fields]) => [
            section,
            section === "signers"
                ? fields
                : new Proxy(fields as object, {
                      get: (target, key) => {
                          read.add(`${section}.${String(key)}`);
                          return Reflect.get(target, key) as unknown;
                      },
                      ownKeys: () => {
                          throw new Error(`The section ${section} is copied as a whole.`);
                      },
                  }),
        ]),
    ) as Settings;

test("guards against a setting that is declared and documented but never read", () => {
    const declared = Object.entries(settingsSchema.shape).flatMap(([section, schema]) =>
        schema instanceof z.ZodObject ? Object.keys(schema.shape as object).map(key => `${section}.${key}`) : [],
    );
    const settings = readSettings();
    const read = new Set<string>();
    instanceOptions(recording(settings, read));
    instanceOptions(recording({ ...settings, tls: { ...settings.tls, mode: "mutual" } }, read));
    expect([...read].sort()).toEqual(declared.sort());
});

test("guards against a setting that is read but passed to the wrong option", () => {
    const { daemon } = instanceOptions(readSettings());
    expect(daemon.timing).toMatchObject({ grantMarginMs: 70, quarantineMs: 120_000, refusalGapMs: 200, pingMs: 500 });
    expect(daemon.limits).toMatchObject({
        queueLength: 12,
        streamWindowBytes: DEFAULT_ANSWER_WINDOW_BYTES,
        connectionsPerTarget: 128,
    });
});
