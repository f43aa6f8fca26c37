import { expect, test } from "@jest/globals";
import { knownNames, pageProblems } from "../checkedPages.js";
import { pageCommands } from "../pageCommands.js";
import { nameProblems } from "../pageNames.js";

test("guards against pages that name a setting, metric, log message, command, script or file that no longer exists", () => {
    expect(pageProblems()).toEqual([]);
});

test("guards against a name check that misses a wrong name", () => {
    const wrong = [
        "`[timing] heartbeats`",
        "`[time]`",
        "`on-loss = hold`",
        "`sassafrasloom_no_such_metric`",
        "`SASSAFRASLOOM_TIMING_POLLS`",
        "`sassafrasloom bundle rolls x`",
        "`sassafrasloom status --jsn`",
        "`membership: Nothing of the kind.`",
        "`members: Member is suspected.`",
        "`npm run sandpit`",
        "`src/process/gone.ts`",
        "[gone](gone.md)",
        "```sh\nsassafrasloom drains x\n```",
    ];
    const known = knownNames();
    wrong.forEach(text => expect([text, nameProblems("README.md", text, known).length]).toEqual([text, 1]));
    const right =
        "`[timing] heartbeat` `membership: Member is suspected.` `sassafrasloom audit --verify | head` `src/`";
    expect(nameProblems("README.md", right, known)).toEqual([]);
});

test("guards against marked commands that are not run", () => {
    const page = "```sh\nnot run\n```\n```sh check\n# note\nserve &\ndate\n# shows 20\n```\n";
    expect(pageCommands(page)).toEqual([
        { line: 6, text: "serve", isBackground: true, shows: undefined },
        { line: 7, text: "date", isBackground: false, shows: "20" },
    ]);
});
