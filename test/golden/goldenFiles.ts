import {readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {repositoryRoot} from '../support/managedProcess.js';
import {GoldenSession} from './goldenSession.js';

/** Reads and writes the session files. */

const DIRECTORY = join(repositoryRoot(), 'test/golden');

/** Returns the names of all sessions, in the order in which they are played. */
export function sessionNames(): readonly string[] {
  const files = readdirSync(DIRECTORY).filter(file => file.endsWith('.json'));
  return files.map(file => file.replace('.json', '')).sort();
}

export function readSession(name: string): GoldenSession {
  return JSON.parse(readFileSync(pathOf(name), 'utf8')) as GoldenSession;
}

export function writeSession(name: string, session: GoldenSession): void {
  const text = JSON.stringify(session, undefined, 2);
  writeFileSync(pathOf(name), `${text}\n`);
}

function pathOf(name: string): string {
  return join(DIRECTORY, `${name}.json`);
}
