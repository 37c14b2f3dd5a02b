package peer

import (
	"context"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// handle runs the handler of a message. If it panics, the message fails, and the process and its other calls go on.
func (t *Transport) handle(ctx context.Context, h Handler, f *frame, from ident.VM) (out []byte, err error) {
	defer t.recoverPanic(f.Kind, from, &err)
	return h(ctx, from, f.Body)
}

// recoverPanic recovers a panic of a handler, logs it, and sets err unless it is nil. It is to be deferred.
func (t *Transport) recoverPanic(kind Kind, from ident.VM, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	t.opts.Log.Error("handler of a peer message panicked", zap.Uint8("kind", uint8(kind)), zap.Stringer("vm", from),
		zap.String("panic", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	if err != nil {
		*err = fault.New(fault.Internal, "report this with the log line of the VM that handled the message", "the handler of the message failed")
	}
}
