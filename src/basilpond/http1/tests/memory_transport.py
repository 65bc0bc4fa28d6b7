"""Transport without a socket for tests of protocols."""

import asyncio


class MemoryTransport(asyncio.Transport):
    """Records the written data and notifies the protocol of the close."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.sent = b''
        self.closed = False
        self.aborted = False
        self.paused = False
        # Whether the peer reads.
        self.is_read = True
        self.unread_bytes = 0
        protocol.connection_made(self)

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        self.sent += data
        if not self.is_read:
            self.unread_bytes += len(data)

    def get_write_buffer_size(self):
        return self.unread_bytes

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def is_closing(self):
        return self.closed

    def close(self):
        if not self.closed:
            self.closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    def abort(self):
        self.aborted = True
        self.close()
