import * as zod from 'zod';

import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {EntryAnnouncement, SystemView} from '../common/systemView.js';
import {ViewHistory} from '../common/viewHistory.js';
import {
  ViewPosition,
  ViewPublisher,
  ViewUpdate,
} from '../common/viewPublisher.js';

/** Longest time that a watch stays open. */
const WATCH_MILLISECONDS = 5_000;
const TEXT_LIMIT = 256;

/** What the router asks of the rest of the program. */
export interface ViewProvider {
  readonly publisher: ViewPublisher;
  view(): SystemView;
  announce(announcement: EntryAnnouncement): void;
  noteEntry(): void;
}

/** Answers watches; the source names this process, so that sequences of an earlier one aren't mixed up. */
export class ViewWatcher {
  private readonly history: ViewHistory;

  constructor(
    private readonly provider: ViewProvider,
    source: string,
  ) {
    this.history = new ViewHistory(source, provider.publisher.current);
  }

  /** Answers when the view differs from what the client has, or after a while. */
  async watch(
    since: ViewPosition | undefined,
    signal: AbortSignal | undefined,
  ): Promise<ViewUpdate> {
    this.refresh();
    if (this.history.isCurrent(since)) {
      await this.nextChange(signal);
      this.refresh();
    }
    return this.history.updateSince(since);
  }

  private refresh(): void {
    this.provider.noteEntry();
    this.history.note(this.provider.view());
  }

  private nextChange(signal: AbortSignal | undefined): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        changed.dispose();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, WATCH_MILLISECONDS);
      const changed = this.provider.publisher.onDidChange(finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}

const positionSchema = zod.object({
  source: zod.string().max(TEXT_LIMIT),
  sequence: zod.int(),
});

const announcementSchema = zod.object({
  incarnation: zod.string().min(1).max(TEXT_LIMIT),
  leaving: zod.boolean(),
});

/** The calls that the entry program of this instance makes. */
export function createViewRouter(provider: ViewProvider, watcher: ViewWatcher) {
  return createRpcRouter({
    view: createRpcRouter({
      watch: peerProcedure
        .input(zod.object({since: positionSchema.optional()}))
        .query(({input, signal}) => watcher.watch(input.since, signal)),
      announce: peerProcedure
        .input(announcementSchema)
        .mutation(({input}): void => provider.announce(input)),
    }),
  });
}

/** The type of the router, for clients. */
export type ViewRouter = ReturnType<typeof createViewRouter>;
