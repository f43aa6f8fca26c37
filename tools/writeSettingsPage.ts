import { writeFileSync } from "node:fs";
import { bundlePage, settingsPage } from "./referencePages.js";

writeFileSync("docs/settings.md", settingsPage());
writeFileSync("docs/bundles.md", bundlePage());
